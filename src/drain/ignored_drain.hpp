#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// Baseline: relies on the other daemons to stop sending, and stops at once.
class ignored_drain
{
public:
    bool refuses(bool) const
    {
        return false;
    }

    bool finishes_work() const
    {
        return false;
    }
};

static_assert(drain_policy<ignored_drain>);

} // namespace samphire
