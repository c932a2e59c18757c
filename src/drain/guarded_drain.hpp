#pragma once

#include "drain/drain_policy.hpp"

namespace samphire
{

/// The guard itself refuses new work from the moment it knows, so that no
/// other daemon has to hear of it in time.
class guarded_drain
{
public:
    bool refuses(bool leaving) const
    {
        return leaving;
    }

    bool finishes_work() const
    {
        return true;
    }
};

static_assert(drain_policy<guarded_drain>);

} // namespace samphire
