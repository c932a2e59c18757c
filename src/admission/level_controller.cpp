#include "admission/level_controller.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Time between updates of the admission level: about the time until a change of
// the level affects the queue of the last guard of a call chain. With a shorter
// interval the level would rise again for an excess that the previous update
// has already corrected.
constexpr absl::Duration update_interval = absl::Milliseconds(100);
// Maximum admission level. Critical work has priorities from this level
// upwards, so critical work is shed only by a full queue or by its deadline.
constexpr std::uint64_t max_level = 3 * priority_steps_per_class;
// Time in which updates of the admission level should return the queue wait to
// its target.
constexpr absl::Duration settling_duration = absl::Milliseconds(400);
// Ratio of the excess load that one update corrects. Correcting all excess load
// at once would overshoot, since part of the effect of the previous update is
// not yet visible in the queue wait.
constexpr double correction_gain = 0.6;
constexpr double max_raise_ratio = 0.5;
constexpr double max_lowering_ratio = 0.1;
// While slots are idle, one update lowers the admission level by a ratio of
// idle_gain * (1 - busy_ratio) more than the queue wait alone would.
constexpr double idle_gain = 0.5;

} // namespace

void level_controller::on_offered(std::uint64_t priority)
{
    histogram_.add(priority);
}

bool level_controller::is_update_due(absl::Time now) const
{
    return now >= next_update_at_;
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
            histogram_.level_that_sheds_ratio(
                level_,
                std::min(
                    max_raise_ratio, correction_gain * excess / (1 + excess))));
    else if (level_ > 0)
        level_ = histogram_.level_that_admits_ratio_more(
            level_,
            std::min(max_lowering_ratio, -correction_gain * excess) +
                idle_gain * std::max(0.0, 1 - busy_ratio));
    histogram_.decay(level_);
    last_queue_wait_ = queue_wait;
    updated_at_ = now;
    next_update_at_ = now + update_interval;
}

absl::Time level_controller::next_update() const
{
    return level_ == 0 ? absl::InfiniteFuture() : next_update_at_;
}

} // namespace samphire
