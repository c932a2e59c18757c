#pragma once

#include "logging/log_event.hpp"
#include "tracing/span.hpp"

#include <absl/time/time.h>

#include <variant>

namespace samphire
{

/// Something to log or to keep, and when it was decided.
struct telemetry_item
{
    absl::Time const at_{};
    std::variant<log_event, span> const content_{};

    friend bool
    operator==(telemetry_item const&, telemetry_item const&) = default;
};

} // namespace samphire
