#pragma once

#include "logging/log_field.hpp"
#include "logging/log_level.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Content of one log line, without its time.
struct log_event
{
    log_level const level_{};
    /// Subsystem that writes the line.
    std::string const channel_{};
    std::string const name_{};
    std::vector<log_field> const fields_{};

    friend bool operator==(log_event const&, log_event const&) = default;
};

} // namespace samphire
