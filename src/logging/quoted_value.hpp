#pragma once

#include <string>
#include <string_view>

namespace samphire
{

/// Returns text of another party as the quoted value of a log field: on one
/// line, without inner quotes, and of bounded length.
std::string quoted_value(std::string_view text);

} // namespace samphire
