#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// The guard refuses new work as soon as it is leaving, so other daemons need
/// not learn of it in time. A shutdown waits for the requests in flight.
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
