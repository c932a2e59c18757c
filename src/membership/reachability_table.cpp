#include "membership/reachability_table.hpp"

namespace samphire
{

bool reachability_table::record_probe(domain_name const& domain, bool answered)
{
    domain_state& entry = domains_[domain];
    entry.consecutive_misses_ = answered ? 0 : entry.consecutive_misses_ + 1;
    bool const assumed_reachable =
        answered || entry.consecutive_misses_ < misses_until_unreachable;
    bool const changes =
        answered ? !entry.reachable_ : entry.reachable_ && !assumed_reachable;
    if (!changes)
        return false;
    entry.reachable_ = answered;
    ++entry.sequence_;
    return true;
}

bool reachability_table::merge(std::span<domain_reachability const> reported)
{
    bool changed = false;
    for (domain_reachability const& report : reported)
    {
        domain_state& entry = domains_[report.domain_];
        if (report.sequence_ <= entry.sequence_)
            continue;
        changed = changed || entry.reachable_ != report.reachable_;
        entry.sequence_ = report.sequence_;
        entry.reachable_ = report.reachable_;
    }
    return changed;
}

bool reachability_table::is_reachable(domain_name const& domain) const
{
    auto const found = domains_.find(domain);
    return found == domains_.end() || found->second.reachable_;
}

std::vector<domain_reachability>
reachability_table::changed_reachability() const
{
    std::vector<domain_reachability> result;
    for (auto const& [domain, entry] : domains_)
    {
        if (entry.sequence_ > 0)
            result.push_back({domain, entry.sequence_, entry.reachable_});
    }
    return result;
}

} // namespace samphire
