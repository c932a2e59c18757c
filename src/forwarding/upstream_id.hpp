#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of an upstream. A restarted upstream process may have the same name.
using upstream_id = text_id<struct upstream_id_tag>;

} // namespace samphire
