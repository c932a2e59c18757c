#pragma once

#include <cstdint>

namespace samphire
{

/// Phase in the life cycle of an upstream.
enum class upstream_phase : std::uint8_t
{
    unknown,
    ready,
    /// Finishes its running requests and accepts no new ones.
    leaving,
    /// Refuses connections.
    down,
};

} // namespace samphire
