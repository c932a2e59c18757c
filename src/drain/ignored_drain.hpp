#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// Baseline of the compile-time drain policy: the daemon refuses no work when
/// it leaves, relies on other daemons to stop sending requests, and shuts down
/// at once.
class ignored_drain
{
public:
    bool refuses_new_work(bool) const
    {
        return false;
    }

    bool waits_for_work_in_flight() const
    {
        return false;
    }
};

static_assert(drain_policy<ignored_drain>);

} // namespace samphire
