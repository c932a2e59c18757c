#pragma once

#include <cstdint>
#include <span>

namespace samphire
{

/// Pressure in thousandths of an urgency class at which the demand that is
/// admitted fills the room, the most urgent first; see service_pressure.
/// `demand`: by urgency, the least urgent first; `room`: in the same unit. Part
/// of the most urgent class is always admitted, to find out when it has passed.
std::uint32_t pressure_permille(std::span<double const> demand, double room);

} // namespace samphire
