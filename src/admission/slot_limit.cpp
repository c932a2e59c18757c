#include "admission/slot_limit.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Reports are up to 5 s old, so the own load of the last 5 s may be in them.
constexpr absl::Duration report_lag = absl::Seconds(5);

} // namespace

void slot_limit::set_slots(std::uint32_t slots)
{
    slots_ = slots;
}

void slot_limit::observe_in_flight(std::size_t count, absl::Time now)
{
    turn_window(now);
    recent_peak_ = std::max(recent_peak_, count);
}

void slot_limit::report_load(std::uint32_t load, absl::Time now)
{
    turn_window(now);
    std::size_t const own = std::max(recent_peak_, earlier_peak_);
    foreign_load_ = load > own ? load - static_cast<std::uint32_t>(own) : 0;
}

std::uint32_t slot_limit::current() const
{
    // A report may mislead; the announcement is authoritative, so a report
    // takes at most half of it.
    std::uint32_t const least = slots_ - slots_ / 2;
    return foreign_load_ >= slots_ - least ? least : slots_ - foreign_load_;
}

void slot_limit::turn_window(absl::Time now)
{
    if (now < window_end_)
        return;
    bool const adjacent = now < window_end_ + report_lag;
    earlier_peak_ = adjacent ? recent_peak_ : 0;
    recent_peak_ = 0;
    window_end_ = now + report_lag;
}

} // namespace samphire
