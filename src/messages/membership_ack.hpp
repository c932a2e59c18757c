#pragma once

#include "base/revision.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Answer to a membership_ping or indirect_ping of the same sequence. With
/// sequence zero it is a notice that was not requested by a ping.
struct membership_ack
{
    std::uint64_t const sequence_{};
    revision const revision_{};
    std::vector<member_record> const updates_{};
    /// Reachability of other domains from the sender's domain; receivers in
    /// other domains ignore it.
    std::vector<domain_reachability> const reachability_{};

    friend bool
    operator==(membership_ack const&, membership_ack const&) = default;
};

} // namespace samphire
