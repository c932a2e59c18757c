#include "ctl/log_record.hpp"

#include "base/text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace samphire
{

std::string_view log_record::field(std::string_view name) const
{
    auto const found = fields_.find(name);
    return found == fields_.end() ? std::string_view() : found->second;
}

std::optional<log_record>
parse_log_line(std::string_view line, std::string_view file)
{
    constexpr std::string_view first_field = "at_ms=";
    auto const begin = line.find(first_field);
    if (begin == std::string_view::npos)
        return std::nullopt;
    log_record record;
    std::string prefix(line.substr(0, begin));
    absl::StripAsciiWhitespace(&prefix);
    // A log collector may write its own time before the name.
    record.source_ = prefix.empty() ? std::string(file)
                                    : prefix.substr(prefix.rfind(' ') + 1);
    std::string_view rest = line.substr(begin);
    while (!rest.empty())
    {
        auto const equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string_view const name = rest.substr(0, equals);
        rest.remove_prefix(equals + 1);
        bool const quoted = rest.starts_with('"');
        auto const end = quoted ? rest.find('"', 1) : rest.find(' ');
        std::string_view value = rest.substr(0, end);
        if (quoted)
            value.remove_prefix(1);
        record.fields_.emplace(name, value);
        if (end == std::string_view::npos)
            break;
        rest.remove_prefix(end + 1);
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    }
    auto const at = parse_number<std::int64_t>(record.field("at_ms"));
    if (!at || record.field("event").empty())
        return std::nullopt;
    record.at_ms_ = *at;
    return record;
}

} // namespace samphire
