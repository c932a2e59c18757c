#pragma once

#include "operations/daemon_report.hpp"
#include "operations/http_calls.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Asks each daemon for its status.
class daemon_survey
{
public:
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
