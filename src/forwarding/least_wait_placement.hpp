#pragma once

#include "base/random_source.hpp"
#include "forwarding/placement.hpp"

#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Chooses the upstream with the least expected time until the answer: the wait
/// for a slot plus the mean run time at that upstream, estimated from the last
/// load report of its guard and from the requests that this daemon has sent to
/// the guard since. Handles upstreams that differ in speed, are slowed down by
/// other VMs on their host, fail some of their requests, or fill up.
class least_wait_placement
{
public:
    /// Returns the chosen upstream; empty when none accepts work. `tried`:
    /// daemons that are not chosen; `zone`: failure domain of this daemon;
    /// `may_explore`: whether the request may be sent to an upstream that was
    /// not used for a while, to measure the present speed of that upstream.
    std::optional<placement> choose(
        std::vector<peer_state*> const& candidates,
        std::vector<endpoint> const& tried,
        std::string const& zone,
        bool may_explore,
        absl::Time now,
        random_source& random) const;
};

/// Whether new requests may be sent to the guard of the peer.
bool accepts_work(peer_state const& peer, absl::Time now);

} // namespace samphire
