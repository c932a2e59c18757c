#pragma once

#include "base/revision.hpp"
#include "membership/domain_reachability.hpp"
#include "membership/member_record.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Answer to a membership_ping or indirect_ping of the same sequence; with
/// sequence zero a notice that needs no answer.
struct membership_ack
{
    std::uint64_t const sequence_{};
    revision const revision_{};
    std::vector<member_record> const updates_{};
    /// Seen from the sender's domain; of no meaning in other domains.
    std::vector<domain_reachability> const reach_{};

    friend bool
    operator==(membership_ack const&, membership_ack const&) = default;
};

} // namespace samphire
