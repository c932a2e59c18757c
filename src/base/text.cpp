#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

namespace samphire
{

namespace
{

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view from_absl(absl::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> result;
    for (absl::string_view const part :
         absl::StrSplit(to_absl(text), separator))
        result.push_back(from_absl(part));
    return result;
}

std::string_view trim(std::string_view text)
{
    return from_absl(absl::StripAsciiWhitespace(to_absl(text)));
}

bool equals_ignore_case(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase(to_absl(left), to_absl(right));
}

} // namespace samphire
