#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Revision of the policy document; zero stands for the built-in defaults.
using revision = numeric_id<struct revision_tag>;

} // namespace samphire
