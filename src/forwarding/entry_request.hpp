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

/// A request of a client or of the local upstream that its entry has not
/// answered yet.
struct entry_request
{
    client_request request_;
    /// Owns the rule that `route_` points to.
    std::shared_ptr<route_index const> routes_;
    route_rule const* route_{};
    service_name service_;
    /// Execution that makes this call; set only when the request is a call of
    /// the local upstream.
    std::optional<running_parent> parent_{};
    /// Number of arrived requests that the request represents; see
    /// execute_order::weight_.
    double weight_{1};
    std::uint64_t fingerprint_{};
    absl::Time deadline_;
    /// Identifies the last order for this request that was sent to a guard.
    execution_key key_{};
    /// Daemon of the guard that the last order was sent to.
    endpoint peer_{};
    absl::Time sent_at_{absl::InfinitePast()};
    /// Whether a guard was sent the request and has not returned a result.
    bool is_in_flight_{};
    /// Whether the connection to the guard was lost, so that the guard is to be
    /// queried for the outcome once it is connected again.
    bool is_resolving_outcome_{};
    /// Daemons whose guards were sent the request.
    std::vector<endpoint> tried_daemons_;
    /// Time at which a call that still waits for an upstream is refused.
    absl::Time parked_until_{absl::InfinitePast()};
    /// Pressure because of which the request was refused, in thousandths of an
    /// urgency class; -1 when the request was not refused because of a
    /// pressure.
    std::int64_t pressure_permille_{-1};
    /// Number of upstreams that the request reached or may have reached.
    std::uint32_t upstreams_reached_{};
    /// Whether an upstream may have run the request. One that has rejected it
    /// has not.
    bool may_have_run_{};
};

} // namespace samphire
