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
    /// Milliseconds of the Unix time at the daemon that wrote it.
    std::int64_t at_ms_{};
    /// Last word before the fields, such as a collector's name of the VM;
    /// otherwise the name of the file.
    std::string source_{};
    std::map<std::string, std::string, std::less<>> fields_{};

    /// Empty when the line has no such field.
    std::string_view field(std::string_view name) const;

    friend bool operator==(log_record const&, log_record const&) = default;
};

/// Nothing when the line is not one of a daemon's log.
std::optional<log_record>
parse_log_line(std::string_view line, std::string_view file);

} // namespace samphire
