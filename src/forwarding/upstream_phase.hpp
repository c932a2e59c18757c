#pragma once

#include <cstdint>

namespace samphire
{

/// Where an upstream stands in its life.
enum class upstream_phase : std::uint8_t
{
    unknown,
    ready,
    /// Finishes what it runs and takes nothing new.
    leaving,
    /// Refuses connections.
    down,
};

} // namespace samphire
