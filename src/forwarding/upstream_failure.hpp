#pragma once

#include <cstdint>

namespace samphire
{

/// Why a send to the upstream brought no answer.
enum class upstream_failure : std::uint8_t
{
    /// No connection was made, so nothing was sent.
    refused,
    /// The connection ended before a whole answer.
    connection_lost,
    garbled,
};

} // namespace samphire
