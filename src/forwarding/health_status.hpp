#pragma once

#include <cstdint>

namespace samphire
{

/// What a health check of an upstream has shown.
enum class health_status : std::uint8_t
{
    /// The upstream is running and not leaving.
    healthy,
    /// The upstream is leaving, failing, or has no room for the check.
    unavailable,
    /// Nothing: there was no answer that tells.
    unanswered,
};

} // namespace samphire
