#pragma once

#include "forwarding/client_request.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "forwarding/route_index.hpp"
#include "forwarding/running_parent.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace samphire
{

/// A client's request in progress at its entry.
struct entry_request
{
    client_request request_;
    /// Owns the rule that `route_` points to.
    std::shared_ptr<route_index const> routes_;
    route_rule const* route_{};
    service_name service_;
    /// The execution that makes this call; set only for a call of the local
    /// upstream.
    std::optional<running_parent> parent_{};
    /// See execute_order::weight_.
    double weight_{1};
    std::uint64_t fingerprint_{};
    absl::Time deadline_;
    /// Identifies the current send to a guard.
    execution_key key_{};
    endpoint peer_{};
    absl::Time sent_at_{absl::InfinitePast()};
    bool is_in_flight_{};
    /// The connection to the guard was lost; the guard is queried for the
    /// outcome once it is connected again.
    bool is_resolving_outcome_{};
    std::vector<endpoint> tried_daemons_;
    /// Time at which a call that still waits for an upstream is refused.
    absl::Time parked_until_{absl::InfinitePast()};
    /// Pressure for which the request was refused, in thousandths of an urgency
    /// class; -1 when it was not.
    std::int64_t pressure_permille_{-1};
    /// Sends that reached, or may have reached, an upstream.
    std::uint32_t upstreams_reached_{};
};

} // namespace samphire
