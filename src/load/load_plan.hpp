#pragma once

#include "base/endpoint.hpp"
#include "load/any_arrival_shape.hpp"
#include "load/route_share.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Targets, arrivals, timeouts and retry rules of a load run.
struct load_plan
{
    /// Addresses of the daemons to call, or of the upstreams to call directly.
    std::vector<endpoint> const endpoints_{};
    std::vector<route_share> const mix_{};
    any_arrival_shape const shape_{constant_shape{}};
    std::uint64_t const seed_{1};
    /// Time from the start of the run in which calls arrive.
    absl::Duration const arrival_duration_{absl::Seconds(10)};
    /// Time from the start of the run in which calls are sent but not counted
    /// in the result.
    absl::Duration const warm_up_duration_{};
    absl::Duration const timeout_{absl::Seconds(2)};
    /// Size to which shorter request bodies are padded.
    std::size_t const request_body_bytes_{64};
    /// Maximum number of attempts of a call after the first attempt.
    std::uint32_t const max_resends_{};
    /// Delay between a failed attempt and the next attempt of the same call.
    absl::Duration const resend_delay_{};
    /// Whether every call has a header Idempotency-Key.
    bool const sends_idempotency_keys_{};
    /// Whether calls go to "/<route>" of upstreams instead of to daemons.
    bool const calls_upstreams_directly_{};
    /// Time from the start of the run to the end of a fault; the recovery time
    /// is measured from there. Nothing when the run has no fault.
    std::optional<absl::Duration> const fault_end_offset_{};

    friend bool operator==(load_plan const&, load_plan const&) = default;
};

} // namespace samphire
