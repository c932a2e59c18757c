#include "relay/log_writer.hpp"

#include <fmt/format.h>

#include <unistd.h>
#include <utility>

namespace samphire
{

void log_writer::write(std::string line)
{
    line += '\n';
    if (!lines_.try_push_without_notify(std::move(line)))
        dropped_lines_.fetch_add(1, std::memory_order_relaxed);
}

void log_writer::run()
{
    while (!lines_.closed())
    {
        if (auto line = lines_.pop(batch_interval))
            write_batch(std::move(*line));
    }
    if (auto line = lines_.try_pop())
        write_batch(std::move(*line));
}

void log_writer::write_batch(std::string batch)
{
    while (auto const line = lines_.try_pop())
        batch += *line;
    std::uint64_t const dropped =
        dropped_lines_.exchange(0, std::memory_order_relaxed);
    if (dropped > 0)
        batch += fmt::format(
            "level=warning channel=log event=lines_dropped count={}\n",
            dropped);
    std::size_t written = 0;
    while (written < batch.size())
    {
        ssize_t const count = ::write(
            STDOUT_FILENO, batch.data() + written, batch.size() - written);
        // Drops the rest of the batch, since a failed write to standard output
        // cannot be reported anywhere.
        if (count <= 0)
            return;
        written += static_cast<std::size_t>(count);
    }
}

void log_writer::stop()
{
    lines_.close();
}

} // namespace samphire
