#pragma once

#include "http/http_response.hpp"
#include "policy/policy_change.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// Returns a complete HTML page. `title` is plain text; `content` is HTML.
http_response html_page(
    std::uint16_t status, std::string_view title, std::string_view content);

/// Returns an HTML table of the changes. `caption` is plain text.
std::string
changes_table(std::string_view caption, std::vector<policy_change> const&);

/// Returns an HTML section with the document `text` below the heading; both
/// arguments are plain text.
std::string document_section(std::string_view heading, std::string_view text);

/// Returns a hidden input of a form; name and value are plain text.
std::string hidden_field(std::string_view name, std::string_view value);

} // namespace samphire
