#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of one upstream process; a restart may keep it.
using upstream_id = text_id<struct upstream_id_tag>;

} // namespace samphire
