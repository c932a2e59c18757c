#include "upstream/run_counts.hpp"

#include <fmt/format.h>

namespace samphire::standin
{

void run_counts::add(std::string const& request)
{
    std::scoped_lock const lock(mutex_);
    ++executions_by_request_[request];
}

std::string run_counts::text(std::string const& service) const
{
    std::scoped_lock const lock(mutex_);
    std::string text;
    for (auto const& [request, count] : executions_by_request_)
        text += fmt::format("{} {} {}\n", count, service, request);
    return text;
}

} // namespace samphire::standin
