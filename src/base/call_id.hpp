#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies an HTTP request whose client waits for the answer of this daemon.
using call_id = numeric_id<struct call_id_tag>;

} // namespace samphire
