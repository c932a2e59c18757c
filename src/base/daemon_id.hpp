#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of a daemon, unique over all failure domains, kept over restarts.
using daemon_id = text_id<struct daemon_id_tag>;

} // namespace samphire
