#pragma once

#include "operations/daemon_report.hpp"
#include "operations/http_calls.hpp"

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
        http_calls& calls,
        std::vector<endpoint> addresses,
        absl::Duration timeout);

    /// One report for each address, in the same order.
    std::vector<daemon_report> ask();

private:
    http_calls& calls_;
    std::vector<endpoint> const addresses_;
    absl::Duration const timeout_;
};

} // namespace samphire
