#include "load/progress_line.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <unistd.h>

namespace samphire
{

namespace
{

constexpr std::size_t ring_capacity = 16;

} // namespace

progress_line::progress_line()
    : is_terminal_(::isatty(STDERR_FILENO) == 1), reports_(ring_capacity)
{
}

void progress_line::run()
{
    for (;;)
    {
        auto const report = reports_.pop(absl::Hours(1));
        if (!report && reports_.closed())
            break;
        if (report && is_terminal_)
            fmt::print(
                stderr,
                "\r{:6.1f} s  arrivals {}  whole {}  in progress {}   ",
                absl::ToDoubleSeconds(report->elapsed_),
                report->arrivals_,
                report->whole_answers_,
                report->in_progress_);
    }
    if (is_terminal_)
        fmt::print(stderr, "\n");
}

} // namespace samphire
