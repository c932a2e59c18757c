#pragma once

#include <cstddef>
#include <string_view>

namespace samphire
{

/// Returns the maximum nesting depth of the arrays and objects in the JSON
/// text. Text that is not JSON gives some depth and no error.
std::size_t nesting_depth(std::string_view text);

} // namespace samphire
