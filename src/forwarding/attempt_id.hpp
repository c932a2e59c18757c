#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name that a client gave to one attempt of a request.
using attempt_id = text_id<struct attempt_id_tag>;

} // namespace samphire
