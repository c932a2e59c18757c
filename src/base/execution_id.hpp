#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// One request accepted by this daemon for its own upstream.
using execution_id = numeric_id<struct execution_id_tag>;

} // namespace samphire
