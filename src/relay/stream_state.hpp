#pragma once

#include <cstdint>

namespace samphire
{

/// State of a connection after a read.
enum class stream_state : std::uint8_t
{
    open,
    /// The other side has shut down its sending direction.
    ended,
    /// The connection was reset, timed out, or failed with an error.
    broken,
};

} // namespace samphire
