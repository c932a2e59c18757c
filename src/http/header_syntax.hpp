#pragma once

#include <string_view>

namespace samphire
{

/// Returns whether the line, with its line ending, is one header field: a name
/// that is a token, a colon, and a value without control bytes. A folded line
/// is none; RFC 9112, section 5.2, lets a gateway refuse it in a response.
bool is_valid_header_line(std::string_view line);

/// Returns whether a line of a message head begins with a blank, which folds it
/// into the field before.
bool has_folded_line(std::string_view head);

} // namespace samphire
