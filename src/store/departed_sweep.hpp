#pragma once

#include "base/endpoint.hpp"
#include "store/daemon_reachability.hpp"
#include "store/stored_upstream.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace samphire
{

/// Chooses objects of permanently departed daemons for removal, so that the
/// store does not grow with each replaced VM. A removal is conditional on the
/// object's revision, and a daemon that is still alive writes its object again,
/// so a wrong choice costs only two writes.
class departed_sweep
{
public:
    /// Address and start time of this daemon.
    departed_sweep(endpoint own_address, absl::Time started_at)
        : own_address_(own_address), started_at_(started_at)
    {
    }

    /// The next object to remove, if any. `reach` lists all other daemons that
    /// this daemon knows.
    std::optional<stored_upstream> choose(
        std::vector<stored_upstream> const& objects,
        std::vector<daemon_reachability> const& reachabilities,
        absl::Time now) const;

private:
    /// Exceeds every network partition between regions that users reported.
    static constexpr absl::Duration retention_period = absl::Minutes(30);

    /// True on one of the connected daemons, which all of them agree on by
    /// rendezvous hashing.
    bool is_responsible(
        endpoint departed, std::vector<daemon_reachability> const& reachabilities) const;

    endpoint const own_address_;
    absl::Time const started_at_;
};

} // namespace samphire
