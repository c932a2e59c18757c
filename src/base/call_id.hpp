#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies an HTTP request that waits for its answer at this daemon.
using call_id = numeric_id<struct call_id_tag>;

} // namespace samphire
