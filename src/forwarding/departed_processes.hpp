#pragma once

#include "forwarding/process_history.hpp"
#include "forwarding/upstream_process.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Remembers the processes of upstreams that announced their departure. A
/// removal names only an id; if the process that sent it is not known, all
/// processes of that id count as departed for some seconds, and may be the
/// departed one until its late heartbeats have arrived.
class departed_processes
{
public:
    void add(upstream_process const& process)
    {
        processes_.add(process);
    }

    void add_unknown_process(upstream_id const& id, absl::Time now);
    bool contains(upstream_process const& process, absl::Time now) const;
    /// Whether an unknown process of this id has departed, so that a heartbeat
    /// may be a late one of that process.
    bool may_contain(upstream_id const& id, absl::Time now) const;

private:
    static constexpr std::size_t max_removal_times = 256;
    /// Time after a removal in which even a healthy process of its id is not
    /// believed, since the removal may have overtaken the health check.
    static constexpr absl::Duration blocking_period = absl::Seconds(10);
    /// Time after a removal in which its sender's heartbeats may still arrive.
    static constexpr absl::Duration max_heartbeat_delay = absl::Seconds(20);

    process_history processes_;
    /// Times of the last removal by an unknown process, by id.
    absl::flat_hash_map<upstream_id, absl::Time> removal_times_;
};

} // namespace samphire
