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
// Share of the admitted load that one interval sheds for each multiple of the
// target that the wait is over it, beside the growth of the queue.
constexpr double excess_gain = 0.05;
constexpr double greatest_raise = 0.5;
// Lowering fills idle slots and otherwise probes slowly, so that the level
// does not swing.
constexpr double probe_share = 0.02;
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
    double const excess = absl::FDivDuration(wait - target, target);
    // A queue that grows by x seconds in a second is offered 1 + x times what
    // it can serve.
    absl::Duration const passed = std::min(now - updated_at_, 10 * interval);
    double const growth = absl::FDivDuration(wait - last_wait_, passed);
    if (excess > 0)
    {
        double const share =
            growth / (1 + std::max(growth, 0.0)) + excess_gain * excess;
        if (share > 0)
            level_ = std::min(
                highest_level,
                histogram_.raise(level_, std::min(greatest_raise, share)));
    }
    else if (level_ > 0)
        level_ = histogram_.lower(
            level_, probe_share + idle_gain * std::max(0.0, 1 - busy));
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
