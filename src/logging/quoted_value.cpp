#include "logging/quoted_value.hpp"

#include <cstddef>

namespace samphire
{

namespace
{

constexpr std::size_t max_value_bytes = 200;
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

} // namespace

std::string quoted_value(std::string_view text)
{
    std::string value = "\"";
    for (char const character : text.substr(0, max_value_bytes))
    {
        auto const code = static_cast<unsigned char>(character);
        bool const is_plain = code >= first_printable &&
                              code < delete_character && character != '"';
        value += is_plain ? character : '?';
    }
    if (text.size() > max_value_bytes)
        value += "...";
    return value + '"';
}

} // namespace samphire
