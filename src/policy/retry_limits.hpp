#pragma once

#include <cstdint>

namespace samphire
{

/// Limits on retries of calls, set in the policy document.
struct retry_limits
{
    /// Attempts beyond the first of each call, summed over the whole call chain
    /// of one caller's request.
    std::uint32_t const extra_attempts_{3};
    /// Retries to one service as a percentage of first attempts to it.
    std::uint32_t const service_percent_{10};

    friend bool operator==(retry_limits const&, retry_limits const&) = default;
};

} // namespace samphire
