#include "logging/log_line.hpp"

#include <absl/strings/escaping.h>
#include <fmt/format.h>

#include <string_view>

namespace samphire
{

namespace
{

std::string_view level_text(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "invalid";
}

std::string quote_if_needed(std::string const& value)
{
    bool const needs_no_quotes =
        !value.empty() &&
        value.find_first_of(" \"\\=\n\r\t") == std::string::npos;
    return needs_no_quotes ? value : "\"" + absl::CEscape(value) + "\"";
}

} // namespace

std::string format_log_line(log_event const& event, absl::Time at)
{
    std::string line = fmt::format(
        "time={} level={} channel={} event={}",
        absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", at, absl::UTCTimeZone()),
        level_text(event.level_),
        event.channel_,
        event.name_);
    for (log_field const& field : event.fields_)
        line +=
            fmt::format(" {}={}", field.key_, quote_if_needed(field.value_));
    return line;
}

} // namespace samphire
