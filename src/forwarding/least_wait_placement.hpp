#pragma once

#include "base/random_source.hpp"
#include "forwarding/placement.hpp"

#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Chooses the upstream with the least expected time until the answer: the wait
/// for a slot plus the mean run time at that upstream, estimated from its
/// guard's last report and from what this daemon has sent since. Handles
/// upstreams that differ in speed, are slowed down by other VMs on their host,
/// fail some of their requests, or fill up.
class least_wait_placement
{
public:
    /// `may_explore`: the request may be sent to an upstream that was not used
    /// for a while, to measure its present speed.
    std::optional<placement> choose(
        std::vector<peer_state*> const& candidates,
        std::vector<endpoint> const& tried,
        std::string const& zone,
        bool may_explore,
        absl::Time now,
        random_source& random) const;
};

/// Whether the peer may be sent new work.
bool accepts_work(peer_state const& peer, absl::Time now);

} // namespace samphire
