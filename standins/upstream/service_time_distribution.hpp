#pragma once

#include <cstdint>

namespace samphire::standin
{

/// Probability distribution of service times around their mean.
enum class service_time_distribution : std::uint8_t
{
    fixed,
    exponential,
};

} // namespace samphire::standin
