#pragma once

#include "routing/peer_candidate.hpp"
#include "routing/peer_load.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <span>

namespace samphire
{

/// Stores a peer_load for each peer of one service.
class service_peers
{
public:
    /// Returns the load of the candidate, which is added if it is unknown. A
    /// peer that joins later than the others, or a new process at a known
    /// address, starts cold.
    peer_load& find_or_add(peer_candidate const& candidate, absl::Time now);
    /// Returns the load of the peer; null when the peer is unknown.
    peer_load* find(endpoint peer);

    /// Removes peers that are no longer candidates and have no call in flight.
    void remove_non_candidates(std::span<peer_candidate const> candidates);

    /// Returns the median of the median latencies of the responsive peers; zero
    /// when no latency is known.
    absl::Duration median_latency() const;

private:
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_load>> peers_;
    absl::Time first_peer_seen_at_{absl::InfiniteFuture()};
};

} // namespace samphire
