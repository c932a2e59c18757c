#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// One request that waits for its answer at an HTTP server.
using request_token = numeric_id<struct request_token_tag>;

} // namespace samphire
