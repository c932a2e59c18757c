#pragma once

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace samphire
{

// Debian builds Abseil with its own absl::string_view. These functions wrap
// Abseil's string functions for std::string_view.

/// Returns the parts between the separators, including empty ones.
std::vector<std::string_view> split(std::string_view text, char separator);

/// Returns the text without white space at both ends.
std::string_view trim(std::string_view text);

bool equals_ignore_case(std::string_view left, std::string_view right);

/// Parses the whole text as a number; nothing when it has another form or is
/// out of the range of T.
template <class T>
std::optional<T> parse_number(std::string_view text)
{
    T value{};
    char const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

/// Like parse_number, for hexadecimal digits.
template <class T>
std::optional<T> parse_hex_number(std::string_view text)
{
    constexpr int base = 16;
    T value{};
    char const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, value, base);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

/// Appends all parts to `text`.
template <class... Parts>
void append_text(std::string& text, Parts const&... parts)
{
    (text.append(std::string_view(parts)), ...);
}

} // namespace samphire
