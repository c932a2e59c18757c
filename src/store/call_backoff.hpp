#pragma once

#include "base/random_source.hpp"
#include "base/uniform_draw.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Growing pause between failed calls, with jitter so that the daemons do not
/// come back together.
class call_backoff
{
public:
    call_backoff(absl::Duration first, absl::Duration longest)
        : first_(first), longest_(longest), next_(first)
    {
    }

    absl::Duration next(random_source& random)
    {
        double const draw = uniform_draw(random);
        absl::Duration const pause = next_ * (0.5 + draw);
        next_ = std::min(next_ * 2, longest_);
        return pause;
    }

    void reset()
    {
        next_ = first_;
    }

private:
    absl::Duration const first_;
    absl::Duration const longest_;
    absl::Duration next_;
};

} // namespace samphire
