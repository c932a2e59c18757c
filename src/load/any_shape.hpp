#pragma once

#include "load/burst_shape.hpp"
#include "load/constant_shape.hpp"
#include "load/crest_shape.hpp"

#include <variant>

namespace samphire
{

using any_shape = std::variant<constant_shape, burst_shape, crest_shape>;

} // namespace samphire
