#pragma once

#include <cstdint>

namespace samphire::scenario
{

/// How a caller resends a request that was not completed.
enum class resend_mode : std::uint8_t
{
    none,
    /// With the ticket of the earlier answer; without a ticket the caller does
    /// not resend.
    ticket,
    /// With the same idempotency key as the first send.
    key,
    /// As a new request with the same body.
    same,
};

} // namespace samphire::scenario
