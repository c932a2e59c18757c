#pragma once

#include "base/endpoint.hpp"
#include "operations/daemon_report.hpp"
#include "operations/domain_rollout.hpp"

#include <vector>

namespace samphire
{

/// Policy revisions in force in each failure domain, from the daemons that
/// answered.
struct rollout
{
    /// Ordered by domain name.
    std::vector<domain_rollout> const domains_{};
    /// Daemons without a valid answer.
    std::vector<endpoint> const unreached_addresses_{};

    friend bool operator==(rollout const&, rollout const&) = default;
};

rollout summarize_reports(std::vector<daemon_report> const& reports);

} // namespace samphire
