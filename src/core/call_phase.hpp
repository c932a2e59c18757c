#pragma once

#include <cstdint>

namespace samphire
{

/// What a pending call waits for.
enum class call_phase : std::uint8_t
{
    /// The binding of its idempotency key in the platform.
    binding,
    /// The reply of a guard.
    executing,
    /// The state of its ticket, because no reply came.
    querying,
};

} // namespace samphire
