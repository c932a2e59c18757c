#pragma once

#include "base/request_id.hpp"
#include "policy/importance.hpp"
#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Metadata of a caller's request, sent along on every hop.
struct call_context
{
    request_id const request_{};
    trace_context const trace_{};
    importance const importance_{importance::normal};
    /// Number of hops before this call; zero for the call of the caller itself.
    std::uint32_t const depth_{};
    /// Retries that this call and all calls nested in it may still use.
    std::uint32_t const attempts_left_{};
    /// Time until the caller's deadline; a duration, since the clocks of two
    /// machines are never compared.
    absl::Duration const remaining_{};

    friend bool operator==(call_context const&, call_context const&) = default;
};

} // namespace samphire
