#pragma once

#include "base/call_id.hpp"
#include "base/execution_id.hpp"
#include "base/idempotency_key.hpp"
#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"
#include "core/events/call_source.hpp"
#include "execution/execution_ticket.hpp"
#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// A caller or the local upstream sent a request over HTTP.
struct call_received
{
    call_id const call_{};
    call_source const source_{};
    service_name const service_{};
    route_name const route_{};
    idempotency_key const key_{};
    std::optional<execution_ticket> const ticket_{};
    /// Execution that the local upstream makes the call for; empty for a
    /// caller.
    execution_id const parent_{};
    /// Maximum time that the caller waits for the answer; infinite if the
    /// caller set no limit.
    absl::Duration const timeout_{absl::InfiniteDuration()};
    std::optional<trace_context> const trace_{};
    payload const body_{};

    friend bool
    operator==(call_received const&, call_received const&) = default;
};

} // namespace samphire
