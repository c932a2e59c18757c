#include "membership/domain_reach.hpp"

namespace samphire
{

bool domain_reach::observe(domain_name const& domain, bool answered)
{
    state& held = domains_[domain];
    held.misses_ = answered ? 0 : held.misses_ + 1;
    bool const seen = answered || held.misses_ < misses_until_cut;
    bool const changes = answered ? !held.reachable_ : held.reachable_ && !seen;
    if (!changes)
        return false;
    held.reachable_ = answered;
    ++held.sequence_;
    return true;
}

bool domain_reach::merge(std::span<domain_reachability const> reported)
{
    bool changed = false;
    for (domain_reachability const& report : reported)
    {
        state& held = domains_[report.domain_];
        if (report.sequence_ <= held.sequence_)
            continue;
        changed = changed || held.reachable_ != report.reachable_;
        held.sequence_ = report.sequence_;
        held.reachable_ = report.reachable_;
    }
    return changed;
}

bool domain_reach::reachable(domain_name const& domain) const
{
    auto const found = domains_.find(domain);
    return found == domains_.end() || found->second.reachable_;
}

std::vector<domain_reachability> domain_reach::report() const
{
    std::vector<domain_reachability> result;
    for (auto const& [domain, held] : domains_)
    {
        if (held.sequence_ > 0)
            result.push_back({domain, held.sequence_, held.reachable_});
    }
    return result;
}

} // namespace samphire
