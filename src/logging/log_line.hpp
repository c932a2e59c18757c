#pragma once

#include "logging/log_event.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// One key=value line without the line end. Values with a space, a quote or a
/// line end are quoted and escaped.
std::string format_log_line(log_event const& event, absl::Time at);

} // namespace samphire
