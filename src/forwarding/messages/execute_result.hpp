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

/// Guard to entry: how the request ended.
struct execute_result
{
    execution_key key_{};
    execution_verdict verdict_{execution_verdict::unknown};
    verdict_reason reason_{verdict_reason::none};
    /// Whether the request reached the upstream; that uses up one of the
    /// upstreams that the route allows.
    bool reached_upstream_{};
    /// Expected wait for a slot, after which the client may retry.
    absl::Duration retry_after_{};
    load_report load_{};
    /// Pressures that the calls made for this request have met.
    std::vector<service_pressure> pressures_{};
    std::uint16_t status_{};
    /// Header lines of the answer, each ending with CR LF.
    std::string headers_{};
    payload body_{};

    friend bool
    operator==(execute_result const&, execute_result const&) = default;
};

} // namespace samphire
