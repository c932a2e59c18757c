#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of a daemon, unique across failure domains and kept across restarts.
using daemon_id = text_id<struct daemon_id_tag>;

} // namespace samphire
