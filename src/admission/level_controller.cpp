#include "admission/level_controller.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// The level is updated about as often as a change of it takes to affect the
// queue of the last guard of a call chain. With a shorter interval the level
// would rise again for an excess that the previous update has already
// corrected.
constexpr absl::Duration update_interval = absl::Milliseconds(100);
// Critical work is never shed by level, only by a full queue or its deadline.
constexpr std::uint64_t max_level = 3 * priority_steps_per_class;
// Time in which the queue wait should return to its target.
constexpr absl::Duration settling_duration = absl::Milliseconds(400);
// Ratio of the excess load that one update corrects. Correcting all of it would
// overshoot, since part of the effect of the previous update is not yet
// visible in the queue wait.
constexpr double correction_gain = 0.6;
constexpr double max_raise_ratio = 0.5;
constexpr double max_lowering_ratio = 0.1;
// Additional ratio by which one update lowers the level for each unit of idle
// slots, so that the level falls faster than the queue wait alone would lower
// it.
constexpr double idle_gain = 0.5;

} // namespace

void level_controller::on_offered(std::uint64_t priority)
{
    histogram_.add(priority);
}

bool level_controller::is_update_due(absl::Time now) const
{
    return now >= next_update_;
}

void level_controller::update(
    absl::Duration queue_wait,
    absl::Duration target_wait,
    double busy_ratio,
    absl::Time now)
{
    // When the queue wait grows by x seconds per second, the offered load is 1
    // + x times the capacity. The second term of the excess makes the wait
    // shrink in proportion to its distance above the target.
    absl::Duration const elapsed =
        std::min(now - updated_at_, 10 * update_interval);
    double const growth =
        absl::FDivDuration(queue_wait - last_queue_wait_, elapsed);
    double const excess =
        growth +
        absl::FDivDuration(queue_wait - target_wait, settling_duration);
    if (excess > 0)
        level_ = std::min(
            max_level,
            histogram_.raised_level(
                level_,
                std::min(
                    max_raise_ratio, correction_gain * excess / (1 + excess))));
    else if (level_ > 0)
        level_ = histogram_.lowered_level(
            level_,
            std::min(max_lowering_ratio, -correction_gain * excess) +
                idle_gain * std::max(0.0, 1 - busy_ratio));
    histogram_.decay(level_);
    last_queue_wait_ = queue_wait;
    updated_at_ = now;
    next_update_ = now + update_interval;
}

absl::Time level_controller::next_update() const
{
    return level_ == 0 ? absl::InfiniteFuture() : next_update_;
}

} // namespace samphire
