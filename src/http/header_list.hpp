#pragma once

#include "http/http_header.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

using header_list = std::vector<http_header>;

/// Returns the value of the first header with this name; the case of the name
/// is ignored.
std::optional<std::string>
find_header(header_list const& headers, std::string_view name);

} // namespace samphire
