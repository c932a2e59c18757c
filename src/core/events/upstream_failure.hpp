#pragma once

#include <cstdint>

namespace samphire
{

/// Reason why the local upstream sent no complete answer.
enum class upstream_failure : std::uint8_t
{
    /// No connection could be made, so the request cannot have run.
    refused,
    connection_lost,
    truncated,
    timeout,
    cancelled,
};

} // namespace samphire
