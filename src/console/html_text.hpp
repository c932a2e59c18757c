#pragma once

#include <string>
#include <string_view>

namespace samphire
{

/// Escapes the text for HTML element content and quoted attribute values.
std::string escape_html(std::string_view text);

} // namespace samphire
