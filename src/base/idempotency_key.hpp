#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Key that a caller repeats when it sends the same request again.
using idempotency_key = text_id<struct idempotency_key_tag>;

} // namespace samphire
