#pragma once

#include "membership/domain_reachability.hpp"

#include <map>
#include <span>
#include <vector>

namespace samphire
{

/// Which other failure domains can be reached from this one, as seen by the
/// watchers of this domain and passed on inside it.
class domain_reach
{
public:
    /// Unanswered probes in a row, of different members, after which a domain
    /// counts as cut off. At 20% datagram loss a probe fails with 36%, so four
    /// failures in a row are 1.7% and one answer ends the error.
    static constexpr unsigned misses_until_cut = 4;

    /// Takes the outcome of a direct probe; true when the state changed.
    bool observe(domain_name const& domain, bool answered);
    /// Takes what a member of the own domain reports; true for a change.
    bool merge(std::span<domain_reachability const> reported);
    bool reachable(domain_name const& domain) const;
    /// Everything that changed at least once.
    std::vector<domain_reachability> report() const;

private:
    struct state
    {
        std::uint64_t sequence_{};
        bool reachable_{true};
        unsigned misses_{};
    };

    std::map<domain_name, state> domains_;
};

} // namespace samphire
