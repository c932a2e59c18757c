#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Version that the platform assigns to an object; zero if the object is
/// absent.
using object_version = numeric_id<struct object_version_tag>;

} // namespace samphire
