#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Hash of the service, route and body of a request.
using fingerprint = numeric_id<struct fingerprint_tag>;

} // namespace samphire
