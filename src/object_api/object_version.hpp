#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Version that the platform gives an object; zero stands for an absent one.
using object_version = numeric_id<struct object_version_tag>;

} // namespace samphire
