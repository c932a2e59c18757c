#pragma once

#include "operations/daemon_report.hpp"

#include <string_view>

namespace samphire
{

/// Reads the body of GET /status. A body of another form counts as not
/// reached, since nothing is known about the revision there.
daemon_report parse_daemon_report(endpoint address, std::string_view body);

} // namespace samphire
