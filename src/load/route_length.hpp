#pragma once

#include <cstdint>

namespace samphire
{

/// Length class of a route as shown in the result. It does not affect service
/// times, which the upstream decides.
enum class route_length : std::uint8_t
{
    short_work,
    long_work,
};

} // namespace samphire
