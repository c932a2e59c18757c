#pragma once

#include "base/text_id.hpp"

namespace samphire
{

/// Name of an object in the platform's store, such as "policy".
using object_name = text_id<struct object_name_tag>;

} // namespace samphire
