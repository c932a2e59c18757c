#include "operations/rollout.hpp"

namespace samphire
{

rollout summarize_reports(std::vector<daemon_report> const& reports)
{
    std::map<domain_name, std::map<revision, std::size_t>> counts;
    std::vector<endpoint> unreached_addresses;
    for (daemon_report const& report : reports)
    {
        if (report.reached_)
            ++counts[report.domain_][report.revision_];
        else
            unreached_addresses.push_back(report.address_);
    }
    std::vector<domain_rollout> domains;
    for (auto const& [domain, daemon_counts] : counts)
        domains.push_back({domain, daemon_counts});
    return {domains, unreached_addresses};
}

} // namespace samphire
