#pragma once

#include <cstdint>

namespace samphire
{

/// Importance of a route as shown in the result. It does not affect shedding,
/// which the policy document decides.
enum class route_importance : std::uint8_t
{
    normal,
    important,
};

} // namespace samphire
