#pragma once

#include "base/endpoint.hpp"
#include "operations/daemon_report.hpp"
#include "operations/domain_rollout.hpp"

#include <vector>

namespace samphire
{

/// Where which revision is in force, as far as daemons could be asked.
struct rollout
{
    /// Ordered by name.
    std::vector<domain_rollout> const domains_{};
    std::vector<endpoint> const unreached_{};

    friend bool operator==(rollout const&, rollout const&) = default;
};

rollout summarize_reports(std::vector<daemon_report> const& reports);

} // namespace samphire
