#include "admission/slot_limit.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Maximum age of a load report of the upstream. A load report can include any
// load that this guard put on the upstream within this time.
constexpr absl::Duration max_report_age = absl::Seconds(5);

} // namespace

void slot_limit::set_slots(std::uint32_t slots)
{
    slots_ = slots;
}

void slot_limit::observe_in_flight(std::size_t count, absl::Time now)
{
    advance_window(now);
    current_window_peak_in_flight_ =
        std::max(current_window_peak_in_flight_, count);
}

void slot_limit::report_load(std::uint32_t reported_load, absl::Time now)
{
    advance_window(now);
    std::size_t const own_peak_load = std::max(
        current_window_peak_in_flight_, previous_window_peak_in_flight_);
    external_load_ =
        reported_load > own_peak_load
            ? reported_load - static_cast<std::uint32_t>(own_peak_load)
            : 0;
}

std::uint32_t slot_limit::max_in_flight() const
{
    // The announced slots are authoritative and a load report can be wrong, so
    // reports reduce the limit by at most half.
    std::uint32_t const min_limit = slots_ - slots_ / 2;
    return external_load_ >= slots_ - min_limit ? min_limit
                                                : slots_ - external_load_;
}

void slot_limit::advance_window(absl::Time now)
{
    if (now < window_end_)
        return;
    bool const adjacent = now < window_end_ + max_report_age;
    previous_window_peak_in_flight_ =
        adjacent ? current_window_peak_in_flight_ : 0;
    current_window_peak_in_flight_ = 0;
    window_end_ = now + max_report_age;
}

} // namespace samphire
