#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Lowest priority that a guard admits; zero admits every request. Ranges
/// from 0 to 512: four importance classes of 128 steps each.
using admission_level = numeric_id<struct admission_level_tag>;

} // namespace samphire
