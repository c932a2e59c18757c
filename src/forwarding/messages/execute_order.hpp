#pragma once

#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"
#include "forwarding/attempt_id.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "forwarding/rate_limit.hpp"
#include "forwarding/request_kind.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// Sent by an entry to a guard: asks the guard to run a request on its
/// upstream.
struct execute_order
{
    execution_key key_{};
    attempt_id attempt_{};
    service_name service_{};
    route_name route_{};
    /// Service of the VM on which the entry's daemon runs.
    service_name caller_service_{};
    request_kind kind_{request_kind::non_idempotent};
    /// Priority of the client's request at the root of the call graph; 0 is the
    /// most urgent priority.
    std::int32_t priority_{};
    /// Whether the request is a call that an upstream makes while it runs
    /// another request.
    bool is_call_{};
    /// Urgency class of the client's request at the root of the call graph; 0
    /// is the least urgent class.
    std::uint32_t urgency_{};
    /// Number of arrived requests that the client's request at the root of the
    /// call graph represents: 1 / (ratio of the requests of its urgency class
    /// that the entry admitted).
    double weight_{1};
    /// Whether another guard, which did not run this request, has already
    /// counted the request in its demand.
    bool demand_counted_{};
    /// Whether this request, or the parent request that makes this call,
    /// reached another upstream before.
    bool is_retry_{};
    /// Rate limit of the guard's upstream as far as the entry knows it, for a
    /// guard that has restarted and has had no answer of its upstream yet.
    rate_limit known_rate_limit_{};
    /// Time left until the deadline of the request.
    absl::Duration remaining_time_{};
    std::string method_{};
    /// Path and query of the request.
    std::string target_{};
    /// Header lines of the request that are forwarded to the upstream, each
    /// ending with CR LF.
    std::string headers_{};
    payload body_{};
    /// Whether the request has a body, which may be empty.
    bool has_body_{};
    /// Hash that request_fingerprint() computes for the request.
    std::uint64_t fingerprint_{};

    friend bool
    operator==(execute_order const&, execute_order const&) = default;
};

} // namespace samphire
