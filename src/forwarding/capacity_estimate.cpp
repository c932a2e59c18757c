#include "forwarding/capacity_estimate.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Time within which the queue of an upstream is to be drained.
constexpr absl::Duration drain_time = absl::Milliseconds(400);
// Maximum ratio of the capacity that is reserved to drain the queue. A higher
// ratio is not needed, since urgent requests overtake the queue.
constexpr double max_drain_ratio = 0.4;
// Number of queued executions per slot that are not drained, since they keep
// the slots busy between two arrivals.
constexpr double min_queue_per_slot = 1;
// Maximum increase per second of the factor that corrects the estimated
// capacity. While nothing is queued although the demand exceeds the capacity,
// the increase per second is this value * (1 - running executions / slots).
constexpr double correction_rise_per_second = 1;
// Decrease per second of the same factor while there is a queue; low, since the
// drain rate has already reduced the estimated capacity.
constexpr double correction_fall_per_second = 0.15;
// Bounds of the correction factor. A larger error of the mean run time need not
// be compensated, since new executions soon correct the mean.
constexpr double min_correction = 0.6;
constexpr double max_correction = 1.5;
// Maximum time between two updates that is taken into account. A longer gap, as
// after a pause of the process, counts as this time.
constexpr absl::Duration max_elapsed_time = absl::Milliseconds(250);
constexpr double per_kilosecond = 1000;

} // namespace

void capacity_estimate::update(
    std::uint32_t slots,
    std::uint32_t running_executions,
    std::uint32_t queued_executions,
    absl::Duration run_time,
    double demand_per_second,
    absl::Time now)
{
    double const elapsed_seconds =
        absl::ToDoubleSeconds(std::min(now - updated_at_, max_elapsed_time));
    updated_at_ = now;
    if (run_time <= absl::ZeroDuration() || slots == 0)
    {
        capacity_per_ks_ = 0;
        return;
    }
    double const nominal_rate = slots / absl::ToDoubleSeconds(run_time);
    double const excess_queued =
        std::max(0.0, queued_executions - slots * min_queue_per_slot);
    if (excess_queued > 0)
        correction_factor_ -= correction_fall_per_second * elapsed_seconds;
    else if (
        queued_executions == 0 &&
        demand_per_second > nominal_rate * correction_factor_)
        correction_factor_ +=
            correction_rise_per_second * elapsed_seconds *
            std::max(0.0, 1 - running_executions / static_cast<double>(slots));
    else
        correction_factor_ +=
            (1 - correction_factor_) * std::min(elapsed_seconds, 1.0);
    correction_factor_ =
        std::clamp(correction_factor_, min_correction, max_correction);
    double const corrected_rate = nominal_rate * correction_factor_;
    double const drain_rate = std::min(
        excess_queued / absl::ToDoubleSeconds(drain_time),
        corrected_rate * max_drain_ratio);
    double const available_rate = corrected_rate - drain_rate;
    // The capacity is at least 1, since 0 means that it is unknown.
    capacity_per_ks_ = static_cast<std::uint32_t>(
                           std::max(available_rate, 0.0) * per_kilosecond) +
                       1;
}

} // namespace samphire
