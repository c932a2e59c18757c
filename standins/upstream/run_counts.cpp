#include "upstream/run_counts.hpp"

#include <fmt/format.h>

namespace samphire::standin
{

void run_counts::add(std::string const& work)
{
    std::scoped_lock const lock(mutex_);
    ++runs_[work];
}

std::string run_counts::page(std::string const& service) const
{
    std::scoped_lock const lock(mutex_);
    std::string page;
    for (auto const& [work, count] : runs_)
        page += fmt::format("{} {} {}\n", count, service, work);
    return page;
}

} // namespace samphire::standin
