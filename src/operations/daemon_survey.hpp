#pragma once

#include "operations/blocking_http_client.hpp"
#include "operations/daemon_report.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Requests the status of each daemon over HTTP.
class daemon_survey
{
public:
    /// `timeout` limits the wait for each daemon.
    daemon_survey(
        blocking_http_client& calls,
        std::vector<endpoint> addresses,
        absl::Duration timeout);

    /// One report for each address, in the same order.
    std::vector<daemon_report> collect_reports();

private:
    blocking_http_client& calls_;
    std::vector<endpoint> const addresses_;
    absl::Duration const timeout_;
};

} // namespace samphire
