#pragma once

#include "base/numeric_id.hpp"

namespace samphire
{

/// Priority below which a guard sheds; zero admits all. Ranges to 512: four
/// importance classes of 128 steps each.
using admission_level = numeric_id<struct admission_level_tag>;

} // namespace samphire
