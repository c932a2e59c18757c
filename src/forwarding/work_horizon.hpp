#pragma once

#include "forwarding/route_durations.hpp"

#include <absl/time/time.h>

#include <algorithm>

namespace samphire
{

/// Time at which all work of a stopping daemon must have ended, and what can
/// still end by then. Work that would last longer is refused while that is
/// true, instead of being cut off with the process.
class work_horizon
{
public:
    /// Work must end by `end` from now on.
    void set(absl::Time end)
    {
        end_ = std::min(end_, end);
    }

    bool is_set() const
    {
        return end_ != absl::InfiniteFuture();
    }

    /// Returns the deadline, or the end of all work if that is earlier.
    absl::Time bounded(absl::Time deadline) const
    {
        return std::min(deadline, end_);
    }

    void observe(route_name const& route, absl::Duration duration)
    {
        durations_.observe(route, duration);
    }

    /// Whether a request of the route that starts now typically ends in time.
    bool can_end(route_name const& route, absl::Time now) const
    {
        return !is_set() || now + durations_.typical_maximum(route).value_or(
                                      unknown_duration) <=
                                end_;
    }

private:
    /// Assumed for a route of which no request was observed.
    static constexpr absl::Duration unknown_duration = absl::Seconds(1);

    absl::Time end_{absl::InfiniteFuture()};
    route_durations durations_;
};

} // namespace samphire
