#include "admission/slot_limit.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// A load report may be this old, so it can include any load that this guard had
// within this time.
constexpr absl::Duration max_report_age = absl::Seconds(5);

} // namespace

void slot_limit::set_slots(std::uint32_t slots)
{
    slots_ = slots;
}

void slot_limit::observe_in_flight(std::size_t count, absl::Time now)
{
    advance_window(now);
    current_peak_ = std::max(current_peak_, count);
}

void slot_limit::report_load(std::uint32_t reported_load, absl::Time now)
{
    advance_window(now);
    std::size_t const own_load = std::max(current_peak_, previous_peak_);
    foreign_load_ = reported_load > own_load
                        ? reported_load - static_cast<std::uint32_t>(own_load)
                        : 0;
}

std::uint32_t slot_limit::current() const
{
    // The announced slots are authoritative and a load report can be wrong, so
    // reports reduce the limit by at most half.
    std::uint32_t const min_limit = slots_ - slots_ / 2;
    return foreign_load_ >= slots_ - min_limit ? min_limit
                                               : slots_ - foreign_load_;
}

void slot_limit::advance_window(absl::Time now)
{
    if (now < window_end_)
        return;
    bool const adjacent = now < window_end_ + max_report_age;
    previous_peak_ = adjacent ? current_peak_ : 0;
    current_peak_ = 0;
    window_end_ = now + max_report_age;
}

} // namespace samphire
