#pragma once

#include <cstdint>

namespace samphire
{

/// States what a pending call waits for.
enum class call_phase : std::uint8_t
{
    /// Waits for the platform to bind the idempotency key to a ticket.
    binding,
    /// Waits for the reply of a guard to an execute_request.
    executing,
    /// Waits for the reply to a ticket_query, because the execute_request got
    /// no reply.
    querying,
};

} // namespace samphire
