#include "upstream/run_counts.hpp"

#include <fmt/format.h>

namespace samphire::standin
{

void run_counts::add(std::string const& request)
{
    std::scoped_lock const lock(mutex_);
    ++counts_[request];
}

std::string run_counts::text(std::string const& service) const
{
    std::scoped_lock const lock(mutex_);
    std::string text;
    for (auto const& [request, count] : counts_)
        text += fmt::format("{} {} {}\n", count, service, request);
    return text;
}

} // namespace samphire::standin
