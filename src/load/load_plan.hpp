#pragma once

#include "base/endpoint.hpp"
#include "load/any_shape.hpp"
#include "load/route_share.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace samphire
{

/// Everything that determines a run.
struct load_plan
{
    std::vector<endpoint> const entries_{};
    std::vector<route_share> const mix_{};
    any_shape const shape_{constant_shape{}};
    std::uint64_t const seed_{1};
    absl::Duration const length_{absl::Seconds(10)};
    /// Start of the run whose calls are sent but not counted.
    absl::Duration const warm_up_{};
    absl::Duration const timeout_{absl::Seconds(2)};
    /// Bytes of each request's body.
    std::size_t const body_size_{64};
    /// Attempts after the first that a caller makes without a pause.
    std::uint32_t const resends_{};
    absl::Duration const resend_delay_{};
    /// Sends an Idempotency-Key with every call.
    bool const keys_{};
    /// Sends "/<route>" to the entries, which are upstreams then.
    bool const direct_{};
    /// End of a fault; the recovery is measured from it.
    std::optional<absl::Duration> const trigger_end_{};

    friend bool operator==(load_plan const&, load_plan const&) = default;
};

} // namespace samphire
