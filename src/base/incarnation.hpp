#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies one process of a daemon; a later process has a higher number.
using incarnation = numeric_id<struct incarnation_tag>;

} // namespace samphire
