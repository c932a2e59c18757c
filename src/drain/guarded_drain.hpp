#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// Drain policy of the released daemon. A leaving guard refuses new work at
/// once, so other daemons need not learn in time that the guard is leaving. A
/// shutdown waits for the requests in flight.
class guarded_drain
{
public:
    bool refuses_new_work(bool leaving) const
    {
        return leaving;
    }

    bool waits_for_work_in_flight() const
    {
        return true;
    }
};

static_assert(drain_policy<guarded_drain>);

} // namespace samphire
