#pragma once

#include "base/request_id.hpp"
#include "policy/importance.hpp"
#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// What travels with a caller's request over all its hops.
struct call_context
{
    request_id const request_{};
    trace_context const trace_{};
    importance const importance_{importance::normal};
    /// Hops behind this call; zero for a caller's own call.
    std::uint32_t const depth_{};
    /// Attempts beyond the first that this call and all below it may use.
    std::uint32_t const attempts_left_{};
    /// Time until the caller's deadline. A duration, since the clocks of two
    /// machines are never compared.
    absl::Duration const remaining_{};

    friend bool operator==(call_context const&, call_context const&) = default;
};

} // namespace samphire
