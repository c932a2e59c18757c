#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies a request that this daemon accepted for its local upstream.
using execution_id = numeric_id<struct execution_id_tag>;

} // namespace samphire
