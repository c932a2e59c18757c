#include "http/header_syntax.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace samphire
{

namespace
{

/// Whether a field name may hold the character (RFC 9110, section 5.6.2).
bool is_token_character(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
           marks.find(character) != std::string_view::npos;
}

bool is_value_character(char character)
{
    return character == '\t' ||
           !absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

} // namespace

bool is_valid_header_line(std::string_view line)
{
    if (line.ends_with('\n'))
        line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    auto const colon = line.find(':');
    if (colon == 0 || colon == std::string_view::npos)
        return false;
    std::string_view const name = line.substr(0, colon);
    std::string_view const value = line.substr(colon + 1);
    return std::all_of(name.begin(), name.end(), is_token_character) &&
           std::all_of(value.begin(), value.end(), is_value_character);
}

bool has_folded_line(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

} // namespace samphire
