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

/// All daemons known to this one, by address, and the upstreams behind them.
/// What a daemon says itself goes before what the store holds of it.
class upstream_directory
{
public:
    explicit upstream_directory(std::size_t capacity) : capacity_(capacity)
    {
    }

    /// From the store; ignored once the daemon has spoken for itself.
    void learn(upstream_record const& record);
    /// From the daemon that guards the upstream.
    void learn_live(upstream_record const& record);
    void connected(endpoint daemon, std::uint64_t incarnation);
    void disconnected(endpoint daemon);
    void load(endpoint daemon, load_report const& report, absl::Time now);
    void stopping(endpoint daemon, bool value);
    void forget(endpoint daemon);

    peer_state* find(endpoint daemon);
    peer_state const* find(endpoint daemon) const;

    /// Daemons whose upstream serves `service`.
    std::vector<peer_state*> const&
    of_service(service_name const& service) const;

    /// Pressure at which what all its upstreams are asked for fills their room.
    service_pressure pressure(service_name const& service) const;

    /// Whether any daemon of the service is connected.
    bool reachable(service_name const& service) const;

    /// Daemons that were sent something by then and have not been heard since.
    std::vector<endpoint> unheard(absl::Time since) const;

    std::vector<endpoint> daemons() const;

    std::size_t size() const
    {
        return peers_.size();
    }

private:
    peer_state* obtain(endpoint daemon);
    void index();

    std::size_t const capacity_;
    absl::flat_hash_map<endpoint, std::unique_ptr<peer_state>> peers_;
    absl::flat_hash_map<service_name, std::vector<peer_state*>> by_service_;
};

} // namespace samphire
