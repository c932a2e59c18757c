#pragma once

#include <cstdint>

namespace samphire
{

/// Why a request sent to the upstream got no answer.
enum class upstream_failure : std::uint8_t
{
    /// No connection was established, so nothing was sent.
    refused,
    /// The connection ended before the answer was complete.
    connection_lost,
    garbled,
};

} // namespace samphire
