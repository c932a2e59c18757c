#pragma once

#include "base/endpoint.hpp"
#include "store/daemon_reachability.hpp"
#include "store/stored_upstream.hpp"

#include <absl/time/time.h>

#include <optional>
#include <vector>

namespace samphire
{

/// Chooses the objects of permanently departed daemons that are removed from
/// the store, so that the store does not grow with each replaced VM. A removal
/// is conditional on the revision of the object, and a daemon that is still
/// running writes its object again, so a wrong choice costs only two writes.
class departed_sweep
{
public:
    /// `own_address` and `started_at`: address and start time of this daemon.
    departed_sweep(endpoint own_address, absl::Time started_at)
        : own_address_(own_address), started_at_(started_at)
    {
    }

    /// Returns the next object to remove; empty when there is none. `objects`:
    /// all objects in the store; `reachabilities`: one element for each other
    /// daemon that this daemon knows.
    std::optional<stored_upstream> choose_object_to_remove(
        std::vector<stored_upstream> const& objects,
        std::vector<daemon_reachability> const& reachabilities,
        absl::Time now) const;

private:
    /// An object is removed when its daemon has been unreachable for this time,
    /// which exceeds every network partition between regions that users
    /// reported.
    static constexpr absl::Duration retention_period = absl::Minutes(30);

    /// Returns true if this daemon has to remove the object of `departed`. All
    /// connected daemons agree on one responsible daemon by rendezvous hashing.
    bool is_responsible(
        endpoint departed,
        std::vector<daemon_reachability> const& reachabilities) const;

    endpoint const own_address_;
    absl::Time const started_at_;
};

} // namespace samphire
