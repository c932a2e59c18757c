#pragma once

#include "base/revision.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Acknowledges a membership_ping or indirect_ping with the same sequence
/// number. An acknowledgement with sequence number zero is a notice that was
/// not requested by a ping.
struct membership_ack
{
    std::uint64_t const sequence_{};
    revision const revision_{};
    std::vector<member_record> const updates_{};
    /// Reachability of other domains from the domain of the sender. Receivers
    /// in other domains ignore the list.
    std::vector<domain_reachability> const reachability_{};

    friend bool
    operator==(membership_ack const&, membership_ack const&) = default;
};

} // namespace samphire
