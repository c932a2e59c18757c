#pragma once

#include "base/random_source.hpp"
#include "base/uniform_draw.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Computes the pauses between failed calls to the store, which grow
/// exponentially and have jitter so that the daemons do not retry at the same
/// time.
class call_backoff
{
public:
    call_backoff(absl::Duration initial, absl::Duration max)
        : initial_pause_(initial), max_pause_(max), upcoming_pause_(initial)
    {
    }

    /// Returns the pause before the next call, and doubles the pause that
    /// follows, up to the maximum.
    absl::Duration next_pause(random_source& random)
    {
        double const draw = uniform_draw(random);
        absl::Duration const pause = upcoming_pause_ * (0.5 + draw);
        upcoming_pause_ = std::min(upcoming_pause_ * 2, max_pause_);
        return pause;
    }

    void reset()
    {
        upcoming_pause_ = initial_pause_;
    }

private:
    absl::Duration const initial_pause_;
    absl::Duration const max_pause_;
    absl::Duration upcoming_pause_;
};

} // namespace samphire
