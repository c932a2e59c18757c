#pragma once

#include "document/document_member.hpp"

#include <string_view>
#include <vector>

// Functions that split a JSON text into its parts without parsing them, so that
// each part can be parsed alone and one malformed part does not make the others
// unreadable.

namespace samphire
{

/// Returns the members of the object; none when the text is not a complete
/// object.
std::vector<document_member> split_members(std::string_view object);

/// Returns the value of the member; empty when the object has no such member.
std::string_view
find_member(std::vector<document_member> const& members, std::string_view name);

/// Returns the elements of the array; none when the text is not a complete
/// array.
std::vector<std::string_view> split_elements(std::string_view array);

} // namespace samphire
