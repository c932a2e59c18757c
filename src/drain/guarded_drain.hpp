#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// Compile-time drain policy of the released daemon: a leaving guard refuses
/// new work at once, so other daemons need not learn in time that the guard is
/// leaving, and a shutdown waits for the requests in flight.
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
