#pragma once

#include <cstdint>

namespace samphire
{

/// Label of a route in the result; the upstream decides how long it takes.
enum class route_length : std::uint8_t
{
    short_work,
    long_work,
};

} // namespace samphire
