#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies an execute_request; unique at the daemon that sent it.
using exchange_id = numeric_id<struct exchange_id_tag>;

} // namespace samphire
