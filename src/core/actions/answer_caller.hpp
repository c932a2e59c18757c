#pragma once

#include "base/call_id.hpp"
#include "base/payload.hpp"
#include "execution/execution_ticket.hpp"
#include "messages/call_outcome.hpp"
#include "messages/outcome_reason.hpp"
#include "tracing/trace_context.hpp"

#include <cstdint>
#include <optional>

namespace samphire
{

/// Sends the final answer to one call. Exactly one answer_caller is emitted for
/// each call.
struct answer_caller
{
    call_id const call_{};
    call_outcome const outcome_{};
    outcome_reason const reason_{};
    /// HTTP status of the upstream; zero unless the outcome is completed.
    std::uint16_t const status_{};
    std::optional<execution_ticket> const ticket_{};
    payload const body_{};
    trace_context const trace_{};

    friend bool
    operator==(answer_caller const&, answer_caller const&) = default;
};

} // namespace samphire
