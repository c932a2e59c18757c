#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies one client request within the daemon that received it.
using client_token = numeric_id<struct client_token_tag>;

} // namespace samphire
