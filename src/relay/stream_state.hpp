#pragma once

#include <cstdint>

namespace samphire
{

/// What a read of a connection found.
enum class stream_state : std::uint8_t
{
    open,
    /// The other side sends no more.
    ended,
    /// Reset, timed out, or an error.
    broken,
};

} // namespace samphire
