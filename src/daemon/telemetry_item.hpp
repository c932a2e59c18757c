#pragma once

#include "logging/log_event.hpp"
#include "tracing/span.hpp"

#include <absl/time/time.h>

#include <variant>

namespace samphire
{

/// A log event or a finished span, and the time of the decision that emitted
/// it.
struct telemetry_item
{
    absl::Time const decided_at_{};
    std::variant<log_event, span> const content_{};

    friend bool
    operator==(telemetry_item const&, telemetry_item const&) = default;
};

} // namespace samphire
