#include "forwarding/capacity_estimate.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Time within which a queue is to be drained.
constexpr absl::Duration drain_time = absl::Milliseconds(400);
// Maximum ratio of the capacity that is reserved to drain the queue; urgent
// requests overtake the queue anyway.
constexpr double max_drain_ratio = 0.4;
// Queue length per slot that is not drained, since it keeps the slots busy
// between two arrivals.
constexpr double min_queue_per_slot = 1;
// Change of the correction per second. It rises at the full rate when all slots
// are free although the demand exceeds the capacity. It falls slowly when there
// is a queue, since the drain rate has already reduced the capacity.
constexpr double correction_rise_per_second = 1;
constexpr double correction_fall_per_second = 0.15;
// Bounds of the correction: a mean run time with a larger error is soon
// corrected by new executions.
constexpr double min_correction = 0.6;
constexpr double max_correction = 1.5;
// Longer gaps between updates, as after a pause of the process, count as this
// time.
constexpr absl::Duration max_elapsed_time = absl::Milliseconds(250);
constexpr double per_kilosecond = 1000;

} // namespace

void capacity_estimate::update(
    std::uint32_t slots,
    std::uint32_t running,
    std::uint32_t queued,
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
        std::max(0.0, queued - slots * min_queue_per_slot);
    if (excess_queued > 0)
        correction_factor_ -= correction_fall_per_second * elapsed_seconds;
    else if (queued == 0 && demand_per_second > nominal_rate * correction_factor_)
        correction_factor_ += correction_rise_per_second * elapsed_seconds *
                       std::max(0.0, 1 - running / static_cast<double>(slots));
    else
        correction_factor_ += (1 - correction_factor_) * std::min(elapsed_seconds, 1.0);
    correction_factor_ = std::clamp(correction_factor_, min_correction, max_correction);
    double const corrected_rate = nominal_rate * correction_factor_;
    double const drain_rate = std::min(
        excess_queued / absl::ToDoubleSeconds(drain_time),
        corrected_rate * max_drain_ratio);
    double const available_rate = corrected_rate - drain_rate;
    // At least 1, since 0 means unknown.
    capacity_per_ks_ = static_cast<std::uint32_t>(
                       std::max(available_rate, 0.0) * per_kilosecond) +
                   1;
}

} // namespace samphire
