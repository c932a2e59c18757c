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

/// Entry to guard: run this request.
struct execute_order
{
    execution_key key_{};
    attempt_id attempt_{};
    service_name service_{};
    route_name route_{};
    /// Service of the VM where the request began.
    service_name caller_service_{};
    request_kind kind_{request_kind::non_idempotent};
    /// Of the client's request at the root.
    std::int32_t priority_{};
    /// A call of a running request.
    bool is_call_{};
    /// Urgency class of the client's request at the root; 0 is the least.
    std::uint32_t urgency_{};
    /// Requests that the client's request stands for, since entries admit a
    /// part of its class.
    double weight_{1};
    /// Another guard has counted it in its demand, and did not run it.
    bool counted_{};
    /// The same attempt reached another upstream before, or its parent did.
    bool repeated_{};
    /// Time left until the deadline.
    absl::Duration remaining_{};
    std::string method_{};
    /// Path and query.
    std::string target_{};
    /// Header lines that are passed on, each ended by CR LF.
    std::string headers_{};
    payload body_{};
    /// Whether the request came with a body, even an empty one.
    bool has_body_{};
    /// The same when the request comes again.
    std::uint64_t fingerprint_{};

    friend bool
    operator==(execute_order const&, execute_order const&) = default;
};

} // namespace samphire
