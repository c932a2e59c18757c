#pragma once

#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"
#include "forwarding/attempt_id.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "forwarding/request_kind.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace samphire
{

/// Entry to guard: asks the guard to run this request.
struct execute_order
{
    execution_key key_{};
    attempt_id attempt_{};
    service_name service_{};
    route_name route_{};
    /// Service of the VM whose daemon is the entry of the request.
    service_name caller_service_{};
    request_kind kind_{request_kind::non_idempotent};
    /// Priority of the client's request at the root; 0 is the most urgent.
    std::int32_t priority_{};
    /// Whether the request is a call of a running request.
    bool is_call_{};
    /// Urgency class of the client's request at the root; 0 is the least.
    std::uint32_t urgency_{};
    /// Number of arrived requests that the client's request at the root
    /// represents: 1 over the ratio of its class that the entry admitted.
    double weight_{1};
    /// Another guard has already counted this request in its demand and did not
    /// run it.
    bool demand_counted_{};
    /// This attempt, or the parent that makes this call, reached another
    /// upstream before.
    bool is_retry_{};
    /// Time left until the deadline.
    absl::Duration remaining_{};
    std::string method_{};
    /// Path and query.
    std::string target_{};
    /// Forwarded header lines, each ending with CR LF.
    std::string headers_{};
    payload body_{};
    /// Whether the request came with a body, even an empty one.
    bool has_body_{};
    /// See request_fingerprint.
    std::uint64_t fingerprint_{};

    friend bool
    operator==(execute_order const&, execute_order const&) = default;
};

} // namespace samphire
