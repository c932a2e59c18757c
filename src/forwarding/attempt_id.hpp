#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Identifies one attempt of a request. The client chooses the id.
using attempt_id = text_id<struct attempt_id_tag>;

} // namespace samphire
