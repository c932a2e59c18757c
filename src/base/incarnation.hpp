#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Start of a daemon process; a later start has a higher number.
using incarnation = numeric_id<struct incarnation_tag>;

} // namespace samphire
