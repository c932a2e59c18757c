#include "base/name_rules.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <cstddef>

namespace samphire
{

namespace
{

constexpr std::size_t max_name_bytes = 128;

// Not std::isalnum: it depends on the locale, so two machines could disagree.
bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_valid_route(std::string_view text)
{
    auto const parts = split(text, '/');
    // A string_view without data splits into no parts, and std::all_of is true
    // for an empty range.
    return !parts.empty() && text.size() <= max_name_bytes &&
           std::all_of(parts.begin(), parts.end(), is_valid_name);
}

} // namespace samphire
