#include "admission/level_controller.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// About the time in which a step of the level shows in the queue of the last
// guard of a chain; shorter intervals raise again for the same excess.
constexpr absl::Duration interval = absl::Milliseconds(100);
// Critical work is never shed by level, only by a full queue or its deadline.
constexpr std::uint64_t highest_level = 3 * priority_steps_per_class;
// Time in which the queue should come back to its target.
constexpr absl::Duration settling_time = absl::Milliseconds(400);
// Part of the difference between offered and wanted load that one interval
// corrects; the whole would correct twice what the last step has not yet
// shown.
constexpr double gain = 0.6;
constexpr double greatest_raise = 0.5;
constexpr double greatest_lowering = 0.1;
// Idle slots are filled faster than the queue alone would ask for.
constexpr double idle_gain = 0.5;

} // namespace

void level_controller::offered(std::uint64_t priority)
{
    histogram_.add(priority);
}

bool level_controller::due(absl::Time now) const
{
    return now >= next_update_;
}

void level_controller::update(
    absl::Duration wait, absl::Duration target, double busy, absl::Time now)
{
    // A queue that grows by x seconds in a second is offered 1 + x times what
    // it can serve; it should shrink as much as it is over its target.
    absl::Duration const passed = std::min(now - updated_at_, 10 * interval);
    double const growth = absl::FDivDuration(wait - last_wait_, passed);
    double const excess =
        growth + absl::FDivDuration(wait - target, settling_time);
    if (excess > 0)
        level_ = std::min(
            highest_level,
            histogram_.raise(
                level_,
                std::min(greatest_raise, gain * excess / (1 + excess))));
    else if (level_ > 0)
        level_ = histogram_.lower(
            level_,
            std::min(greatest_lowering, -gain * excess) +
                idle_gain * std::max(0.0, 1 - busy));
    histogram_.fade(level_);
    last_wait_ = wait;
    updated_at_ = now;
    next_update_ = now + interval;
}

absl::Time level_controller::next_update() const
{
    return level_ == 0 ? absl::InfiniteFuture() : next_update_;
}

} // namespace samphire
