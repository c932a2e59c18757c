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
    /// Whether it reached the upstream, which counts as a try.
    bool reached_{};
    /// When the queue is expected to have room again.
    absl::Duration retry_after_{};
    load_report load_{};
    /// Pressures that the calls made for this request have met.
    std::vector<service_pressure> pressures_{};
    std::uint16_t status_{};
    /// Header lines of the answer, each ended by CR LF.
    std::string headers_{};
    payload body_{};

    friend bool
    operator==(execute_result const&, execute_result const&) = default;
};

} // namespace samphire
