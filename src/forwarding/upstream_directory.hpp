#pragma once

#include "base/endpoint.hpp"
#include "forwarding/peer_state.hpp"
#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <vector>

namespace samphire
{

/// All daemons known to this one, by address, and the upstreams that they
/// guard. What a daemon reports itself takes precedence over its record in the
/// store.
class upstream_directory
{
public:
    explicit upstream_directory(std::size_t capacity) : capacity_(capacity)
    {
    }

    /// Updates a record from the store; ignored while the daemon is connected.
    void update_from_store(upstream_record const& record);
    /// Updates a record that the daemon guarding the upstream sent itself.
    void update_from_daemon(upstream_record const& record);
    void set_connected(endpoint daemon, std::uint64_t incarnation);
    void set_disconnected(endpoint daemon);
    void set_load(endpoint daemon, load_report const& report, absl::Time now);
    void set_stopping(endpoint daemon, bool value);
    void remove(endpoint daemon);

    peer_state* find(endpoint daemon);
    peer_state const* find(endpoint daemon) const;

    /// Daemons whose upstream serves `service`.
    std::vector<peer_state*> const&
    peers_of_service(service_name const& service) const;

    /// Pressure at which the admitted demand of all upstreams of the service
    /// fills their capacity.
    service_pressure pressure(service_name const& service) const;

    /// Whether any daemon of the service is connected.
    bool is_reachable(service_name const& service) const;

    /// Connected daemons that were sent work at or before `since` and have not
    /// been heard since.
    std::vector<endpoint> peers_awaiting_reply(absl::Time since) const;

    std::vector<endpoint> daemons() const;

    std::size_t size() const
    {
        return peers_.size();
    }

private:
    peer_state* find_or_add(endpoint daemon);
    void rebuild_index();

    std::size_t const capacity_;
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_state>> peers_;
    absl::flat_hash_map<service_name, std::vector<peer_state*>> by_service_;
};

} // namespace samphire
