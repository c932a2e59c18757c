#pragma once

#include <cstdint>

namespace samphire
{

/// Phase in the life cycle of an upstream.
enum class upstream_phase : std::uint8_t
{
    unknown,
    /// The upstream accepts requests.
    ready,
    /// The upstream finishes its running requests and accepts no new ones.
    leaving,
    /// The upstream refuses connections.
    down,
};

} // namespace samphire
