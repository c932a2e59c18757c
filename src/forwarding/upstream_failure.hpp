#pragma once

#include <cstdint>

namespace samphire
{

/// Why a request that a guard sent to its upstream got no valid answer.
enum class upstream_failure : std::uint8_t
{
    /// No connection to the upstream was established, so nothing was sent.
    refused,
    /// The connection to the upstream ended before the answer was complete.
    connection_lost,
    /// The upstream sent bytes that are not a valid answer.
    garbled,
};

} // namespace samphire
