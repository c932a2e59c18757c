#pragma once

#include "membership/domain_reachability.hpp"

#include <map>
#include <span>
#include <vector>

namespace samphire
{

/// Records which other failure domains are reachable from this one, as observed
/// by the members that own the watch duty and shared within this domain.
class reachability_table
{
public:
    /// Consecutive unanswered probes, of different members, after which a
    /// domain counts as unreachable. At 20% datagram loss a probe fails with a
    /// probability of 36% and four in a row with 1.7%; the next answer corrects
    /// such an error.
    static constexpr unsigned misses_until_unreachable = 4;

    /// Records the outcome of a direct probe. Returns true when the
    /// reachability of the domain changed.
    bool record_probe(domain_name const& domain, bool answered);
    /// Merges the report of a member of the domain of this daemon. Returns true
    /// when the reachability of a domain changed.
    bool merge(std::span<domain_reachability const> reported);
    /// Returns true when the domain is reachable or unknown.
    bool is_reachable(domain_name const& domain) const;
    /// Returns the reachability of each domain whose reachability has changed
    /// at least once.
    std::vector<domain_reachability> changed_reachability() const;

private:
    struct domain_state
    {
        std::uint64_t sequence_{};
        bool reachable_{true};
        unsigned consecutive_misses_{};
    };

    std::map<domain_name, domain_state> domains_;
};

} // namespace samphire
