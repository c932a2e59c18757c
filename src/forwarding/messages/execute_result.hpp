#pragma once

#include "base/payload.hpp"
#include "forwarding/execution_verdict.hpp"
#include "forwarding/load_report.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "forwarding/service_pressure.hpp"
#include "forwarding/verdict_reason.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace samphire
{

/// Sent by a guard to an entry: tells how an execution ended.
struct execute_result
{
    execution_key key_{};
    execution_verdict verdict_{execution_verdict::unknown};
    verdict_reason reason_{verdict_reason::none};
    /// Whether the request reached the upstream. If it did, it counts towards
    /// route_rule::max_upstreams_.
    bool reached_upstream_{};
    /// Expected wait for a slot of the upstream, after which the client may
    /// retry.
    absl::Duration retry_after_{};
    /// Load of the guard's upstream after the execution.
    load_report load_{};
    /// Start time of the guard's upstream in Unix milliseconds if the upstream
    /// is leaving; 0 otherwise.
    std::int64_t leaving_upstream_start_ms_{};
    /// Pressures of the services that were called for this request.
    std::vector<service_pressure> service_pressures_{};
    std::uint16_t status_{};
    /// Header lines of the upstream's answer, each ending with CR LF.
    std::string headers_{};
    payload body_{};

    friend bool
    operator==(execute_result const&, execute_result const&) = default;
};

} // namespace samphire
