#pragma once

#include <string_view>

namespace samphire
{

/// Whether the text may name a service or a daemon: 1 to 128 characters
/// out of a-z A-Z 0-9 - _ .
bool is_valid_name(std::string_view text);

/// Whether the text may name a route: names joined by /, at most 128 bytes.
bool is_valid_route(std::string_view text);

} // namespace samphire
