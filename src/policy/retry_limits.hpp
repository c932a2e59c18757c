#pragma once

#include <cstdint>

namespace samphire
{

/// Bounds on repeated attempts.
struct retry_limits
{
    /// Attempts beyond the first of each call, for one caller's request over
    /// its whole call chain.
    std::uint32_t const extra_attempts_{3};
    /// Retries to one service as a percentage of first attempts to it.
    std::uint32_t const service_percent_{10};

    friend bool operator==(retry_limits const&, retry_limits const&) = default;
};

} // namespace samphire
