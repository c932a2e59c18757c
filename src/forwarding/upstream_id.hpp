#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of an upstream; a restarted process may reuse it.
using upstream_id = text_id<struct upstream_id_tag>;

} // namespace samphire
