#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Identifies one unanswered request at an HTTP server or client.
using request_token = numeric_id<struct request_token_tag>;

} // namespace samphire
