#pragma once

#include "base/revision.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Probes a member and carries membership changes.
struct membership_ping
{
    std::uint64_t const sequence_{};
    revision const revision_{};
    std::vector<member_record> const updates_{};
    /// Reachability of other domains from the domain of the sender. Receivers
    /// in other domains ignore the list.
    std::vector<domain_reachability> const reachability_{};

    friend bool
    operator==(membership_ping const&, membership_ping const&) = default;
};

} // namespace samphire
