#pragma once

#include <cstdint>

namespace samphire::scenario
{

/// How a caller sends a request again that was not completed.
enum class resend_mode : std::uint8_t
{
    none,
    /// With the ticket of the earlier answer; not without one.
    ticket,
    /// With the idempotency key that every copy carries.
    key,
    /// As a new request with the same body.
    same,
};

} // namespace samphire::scenario
