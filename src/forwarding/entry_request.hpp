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
    /// Keeps `route_` alive.
    std::shared_ptr<route_index const> routes_;
    route_rule const* route_{};
    service_name service_;
    /// Set for a call of the own upstream.
    std::optional<running_parent> parent_{};
    /// See execute_order.
    double weight_{1};
    std::uint64_t fingerprint_{};
    absl::Time deadline_;
    /// The present send.
    execution_key key_{};
    endpoint peer_{};
    absl::Time sent_{absl::InfinitePast()};
    bool in_flight_{};
    /// Its connection was lost; the guard is asked for the outcome.
    bool resolving_{};
    std::vector<endpoint> tried_;
    /// A call that waits for an upstream is refused then.
    absl::Time parked_until_{absl::InfinitePast()};
    /// Pressure for which the request was refused; -1 for none.
    std::int64_t pressure_permille_{-1};
    /// Sends that reached, or may have reached, an upstream.
    std::uint32_t reached_{};
};

} // namespace samphire
