#pragma once

#include "base/endpoint.hpp"
#include "base/execution_id.hpp"
#include "base/payload.hpp"
#include "base/route_name.hpp"
#include "policy/importance.hpp"
#include "policy/work_class.hpp"
#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Starts an execution at the local upstream.
struct start_at_upstream
{
    execution_id const execution_{};
    endpoint const upstream_{};
    route_name const route_{};
    payload const body_{};
    absl::Duration const timeout_{};
    trace_context const trace_{};
    importance const importance_{};
    /// Requests of class long use separate connections to the upstream.
    work_class const work_class_{};

    friend bool
    operator==(start_at_upstream const&, start_at_upstream const&) = default;
};

} // namespace samphire
