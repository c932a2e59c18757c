#pragma once

#include <cstdint>

namespace samphire::scenario
{

/// How a caller resends a request that was not completed.
enum class resend_mode : std::uint8_t
{
    none,
    /// Resends with the ticket of the earlier answer; does not resend if the
    /// answer has no ticket.
    ticket,
    /// Resends with the idempotency key of the first attempt.
    key,
    /// Sends a new request with the same body.
    same,
};

} // namespace samphire::scenario
