#pragma once

#include "routing/peer_candidate.hpp"
#include "routing/peer_load.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <span>

namespace samphire
{

/// The peers of one service as this daemon sees them.
class service_peers
{
public:
    /// The peer of the candidate; a peer that joins others, or a new process
    /// at a known address, starts cold.
    peer_load& find(peer_candidate const& candidate, absl::Time now);
    /// Null when the peer is not known.
    peer_load* find(endpoint peer);

    /// Drops peers that are no longer candidates and have no call in flight.
    void keep_only(std::span<peer_candidate const> candidates);

    /// Median over the peers of their median latency; zero when none is known.
    absl::Duration median_latency() const;

private:
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_load>> peers_;
    absl::Time first_seen_{absl::InfiniteFuture()};
};

} // namespace samphire
