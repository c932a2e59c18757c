#pragma once

#include "base/endpoint.hpp"
#include "base/random_source.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace samphire
{

/// Decides when this daemon asks another daemon for a newer policy. Daemons
/// announce only the version that they use; a daemon that is behind asks one of
/// those that have the newest version. So a change moves at most one document
/// to each daemon, however many daemons there are.
class policy_exchange
{
public:
    explicit policy_exchange(random_source& random) : random_(random)
    {
    }

    /// Called when `daemon` has announced the version that it uses.
    /// `is_near`: whether it belongs to the failure domain of this daemon.
    void on_peer_version(
        endpoint daemon, std::uint64_t version, bool is_near, absl::Time now);
    void on_peer_lost(endpoint daemon);
    /// Called when this daemon has applied a policy.
    void on_own_version(std::uint64_t version);

    /// Returns the daemon that has to be asked now; empty for none.
    std::optional<endpoint> next_daemon_to_ask(absl::Time now);

    absl::Time next_deadline() const
    {
        return request_due_;
    }

private:
    /// Time for which a newer version may arrive from the store, which notifies
    /// all daemons at about the same time, before a peer is asked for it.
    static constexpr absl::Duration store_head_start = absl::Milliseconds(100);
    /// Upper bound of a random delay that spreads the requests of all daemons.
    static constexpr absl::Duration max_request_jitter =
        absl::Milliseconds(100);
    /// Time after which another daemon is asked.
    static constexpr absl::Duration answer_timeout = absl::Milliseconds(300);

    /// Removes the daemon from those that can be asked.
    void forget(endpoint daemon);

    random_source& random_;
    std::uint64_t own_version_{};
    struct announced_version
    {
        std::uint64_t version_{};
        bool is_near_{};
    };

    /// Daemons that use a newer policy than this daemon.
    absl::flat_hash_map<endpoint, announced_version> newer_versions_;
    absl::Time request_due_{absl::InfiniteFuture()};
};

} // namespace samphire
