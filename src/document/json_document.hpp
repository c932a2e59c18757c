#pragma once

#include "document/document_error.hpp"
#include "document/document_limits.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace samphire
{

/// Parses a JSON text of another party. Throws document_error when the text is
/// not JSON or exceeds the limits.
nlohmann::json
parse_document(std::string_view text, document_limits limits = {});

/// Like parse_document(), but returns a discarded value instead of throwing.
nlohmann::json
try_parse_document(std::string_view text, document_limits limits = {});

} // namespace samphire
