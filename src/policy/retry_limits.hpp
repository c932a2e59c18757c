#pragma once

#include <cstdint>

namespace samphire
{

/// Limits on retries of calls, set in the policy document.
struct retry_limits
{
    /// Maximum number of retries of all calls together in the call chain of one
    /// caller's request.
    std::uint32_t const extra_attempts_{3};
    /// Maximum number of retries to one service, as a percentage of the first
    /// attempts to the service.
    std::uint32_t const service_percent_{10};

    friend bool operator==(retry_limits const&, retry_limits const&) = default;
};

} // namespace samphire
