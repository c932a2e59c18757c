#pragma once

#include <cstdint>

namespace samphire
{

/// Label of a route in the result; the policy document decides what is shed.
enum class route_importance : std::uint8_t
{
    normal,
    important,
};

} // namespace samphire
