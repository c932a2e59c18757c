#pragma once

#include "base/request_id.hpp"
#include "policy/importance.hpp"
#include "tracing/trace_context.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Metadata of the request of a caller. The execute_request of every hop in the
/// call chain includes the metadata.
struct call_context
{
    request_id const request_{};
    trace_context const trace_{};
    importance const importance_{importance::normal};
    /// Number of calls above this call in the call chain; zero for the call of
    /// the caller.
    std::uint32_t const depth_{};
    /// Maximum number of retries that this call and all calls nested in it may
    /// still make together.
    std::uint32_t const attempts_left_{};
    /// Time until the deadline of the call. It is sent as a duration, because
    /// the clocks of two machines are never compared.
    absl::Duration const time_to_deadline_{};

    friend bool operator==(call_context const&, call_context const&) = default;
};

} // namespace samphire
