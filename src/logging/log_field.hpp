#pragma once

#include <string>

namespace samphire
{

/// One key=value pair of a log line.
struct log_field
{
    std::string const key_{};
    std::string const value_{};

    friend bool operator==(log_field const&, log_field const&) = default;
};

} // namespace samphire
