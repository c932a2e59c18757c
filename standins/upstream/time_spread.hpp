#pragma once

#include <cstdint>

namespace samphire::standin
{

/// Distribution of service times around their mean.
enum class time_spread : std::uint8_t
{
    fixed,
    exponential,
};

} // namespace samphire::standin
