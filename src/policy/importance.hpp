#pragma once

#include <cstdint>

namespace samphire
{

/// Importance class of a route; a higher class is shed later.
enum class importance : std::uint8_t
{
    background = 0,
    normal = 1,
    high = 2,
    critical = 3,
};

} // namespace samphire
