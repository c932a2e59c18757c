#pragma once

#include "operations/daemon_report.hpp"

#include <string_view>

namespace samphire
{

/// Parses the answer of the daemon at `address` to GET /status. A malformed
/// body gives a report with `reached_` false, since the daemon's revision is
/// not known.
daemon_report parse_daemon_report(endpoint address, std::string_view body);

} // namespace samphire
