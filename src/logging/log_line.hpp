#pragma once

#include "logging/log_event.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Formats the event as key=value pairs on one line, without a line end. An
/// empty value, or one with white space, a quote, a backslash or an equals
/// sign, is quoted and escaped.
std::string format_log_line(log_event const& event, absl::Time at);

} // namespace samphire
