#pragma once

#include <string>
#include <string_view>

namespace samphire
{

/// The text with the characters that have a meaning in HTML replaced, for
/// element content and quoted attributes.
std::string escape_html(std::string_view text);

} // namespace samphire
