#pragma once

#include "base/random_source.hpp"
#include "forwarding/placement.hpp"

#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Least expected time until the answer: the wait for a slot plus the mean
/// run time at that upstream, from its guard's last report and what this
/// daemon has sent since. Answers upstreams that differ in speed, are slowed by
/// neighbours, fail part of their requests, or fill up.
class least_wait_placement
{
public:
    /// `may_explore`: the request may go to an upstream that was not used for
    /// a while, to learn how fast it is now.
    std::optional<placement> choose(
        std::vector<peer_state*> const& candidates,
        std::vector<endpoint> const& tried,
        std::string const& zone,
        bool may_explore,
        absl::Time now,
        random_source& random) const;
};

/// Whether the peer may be sent new work.
bool takes_work(peer_state const& peer, absl::Time now);

} // namespace samphire
