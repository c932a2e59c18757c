#pragma once

#include "routing/peer_candidate.hpp"
#include "routing/peer_load.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <span>

namespace samphire
{

/// The peers of one service, as observed by this daemon.
class service_peers
{
public:
    /// Returns the load of the candidate, which is added if it is not known. A
    /// peer that joins later than the others, or a new process at a known
    /// address, starts cold.
    peer_load& find_or_add(peer_candidate const& candidate, absl::Time now);
    /// Null when the peer is not known.
    peer_load* find(endpoint peer);

    /// Removes peers that are no longer candidates and have no call in flight.
    void remove_unlisted(std::span<peer_candidate const> candidates);

    /// Median of the median latencies of the responsive peers; zero when no
    /// latency is known.
    absl::Duration median_latency() const;

private:
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_load>> peers_;
    absl::Time first_seen_{absl::InfiniteFuture()};
};

} // namespace samphire
