#pragma once

#include "http/http_response.hpp"
#include "policy/policy_change.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphire
{

/// A whole page. `title` is escaped here; `content` is HTML.
http_response html_page(
    std::uint16_t status, std::string_view title, std::string_view content);

/// Table of changes, with a caption.
std::string
changes_table(std::string_view caption, std::vector<policy_change> const&);

/// A document under a heading.
std::string document_section(std::string_view heading, std::string_view text);

/// Input that the operator does not see.
std::string hidden_field(std::string_view name, std::string_view value);

} // namespace samphire
