#include "admission/level_controller.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Longer than the way of a reply back to the entry inside a failure domain,
// so that most of a step is seen before the next one.
constexpr absl::Duration interval = absl::Milliseconds(20);
// Critical work is never shed by level, only by a full queue or its deadline.
constexpr std::uint64_t highest_level = 3 * priority_steps_per_class;
// Share of the admitted load that one interval sheds for each multiple of the
// target that the wait is over it, and its bound.
constexpr double raise_share = 0.05;
constexpr double greatest_raise = 0.3;
// Slower than raising, so that the level does not swing.
constexpr double lower_share = 0.02;

} // namespace

void level_controller::offered(std::uint64_t priority)
{
    histogram_.add(priority);
}

void level_controller::update(
    absl::Duration wait, absl::Duration target, absl::Time now)
{
    if (now < next_update_)
        return;
    next_update_ = now + interval;
    double const excess = absl::FDivDuration(wait - target, target);
    if (excess > 0)
        level_ = std::min(
            highest_level,
            histogram_.raise(
                level_, std::min(greatest_raise, raise_share * excess)));
    else if (level_ > 0)
        level_ = histogram_.lower(level_, lower_share);
    histogram_.fade(level_);
}

absl::Time level_controller::next_update() const
{
    return level_ == 0 ? absl::InfiniteFuture() : next_update_;
}

} // namespace samphire
