#pragma once

#include "base/endpoint.hpp"
#include "forwarding/peer_state.hpp"
#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace samphire
{

/// All daemons that this daemon knows, by address, and the upstreams that those
/// daemons guard. The record that a daemon sends itself takes precedence over
/// its record in the store.
class upstream_directory
{
public:
    explicit upstream_directory(std::size_t max_daemons)
        : max_daemons_(max_daemons)
    {
    }

    /// Updates the record of an upstream from the store. Ignored while the
    /// daemon that guards the upstream is connected, and if a later `revision`
    /// of the record was read before.
    void
    update_from_store(upstream_record const& record, std::uint64_t revision);
    /// Called when the revisions that were read from the store before can no
    /// longer be compared with those that follow.
    void forget_stored_revisions();
    /// Updates the record of an upstream that was sent by the daemon guarding
    /// the upstream.
    void update_from_daemon(upstream_record const& record);
    void set_connected(endpoint daemon, std::uint64_t incarnation);
    void set_disconnected(endpoint daemon);
    void
    set_load_report(endpoint daemon, load_report const& report, absl::Time now);
    void set_stopping(endpoint daemon, bool value);
    void set_store_access(endpoint daemon, bool reaches_store);
    /// Notes that the upstream of `daemon` that started at `start_time_ms` is
    /// leaving. This holds even if that daemon restarts and does not know it.
    void set_leaving(endpoint daemon, std::int64_t start_time_ms);
    /// Whether the record presents as usable an upstream that is known to be
    /// leaving.
    bool contradicts_departure(upstream_record const& record) const;
    void remove_daemon(endpoint daemon);

    peer_state* find(endpoint daemon);
    peer_state const* find(endpoint daemon) const;

    /// Returns the daemons whose upstream serves `service`.
    std::vector<peer_state*> const&
    peers_of_service(service_name const& service) const;

    /// Returns the pressure at which the admitted demand of all upstreams of
    /// the service just fills their capacity.
    service_pressure pressure_of_service(service_name const& service) const;

    /// Whether any daemon whose upstream serves `service` is connected.
    bool is_service_reachable(service_name const& service) const;

    /// Returns the connected daemons that were sent a request at or before
    /// `since` and have sent nothing since that request.
    std::vector<endpoint> peers_awaiting_reply(absl::Time since) const;

    std::vector<endpoint> daemons() const;

    std::size_t size() const
    {
        return peers_.size();
    }

private:
    peer_state* find_or_add(endpoint daemon);
    void replace_record(peer_state& peer, upstream_record const& record);
    /// Returns the known record of the upstream as leaving if `record` names
    /// only its id; else `record`.
    static upstream_record
    completed(upstream_record const& record, upstream_record const& known);
    void rebuild_index();

    std::size_t const max_daemons_;
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_state>> peers_;
    absl::flat_hash_map<service_name, std::vector<peer_state*>>
        peers_by_service_;
};

} // namespace samphire
