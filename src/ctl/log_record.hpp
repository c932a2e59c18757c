#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// One line of a daemon's log.
struct log_record
{
    /// Unix time in milliseconds, by the clock of the daemon that wrote it.
    std::int64_t at_ms_{};
    /// Last word before the fields, such as the name that a log collector gives
    /// the VM; the name of the file when there is none.
    std::string source_{};
    std::map<std::string, std::string, std::less<>> fields_{};

    /// Value of a field; empty when the line has no such field.
    std::string_view field(std::string_view name) const;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// Parses one line; nothing when it is not a line of a daemon's log.
std::optional<log_record>
parse_log_line(std::string_view line, std::string_view file);

} // namespace samphire
