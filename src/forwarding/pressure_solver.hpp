#pragma once

#include <cstdint>
#include <span>

namespace samphire
{

/// Returns the pressure (see service_pressure), in thousandths of an urgency
/// class, at which the admitted demand just fills the capacity when the most
/// urgent demand is admitted first. `demand`: requested executions by urgency
/// class, the least urgent class first; `capacity`: executions in the same
/// unit. A small ratio of the most urgent class is always admitted, so that the
/// end of an overload is noticed.
std::uint32_t
pressure_permille(std::span<double const> demand, double capacity);

} // namespace samphire
