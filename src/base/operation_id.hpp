#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies a call to the platform; unique at this daemon.
using operation_id = numeric_id<struct operation_id_tag>;

} // namespace samphire
