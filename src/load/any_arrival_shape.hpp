#pragma once

#include "load/burst_shape.hpp"
#include "load/constant_shape.hpp"
#include "load/peak_shape.hpp"

#include <variant>

namespace samphire
{

using any_arrival_shape = std::variant<constant_shape, burst_shape, peak_shape>;

} // namespace samphire
