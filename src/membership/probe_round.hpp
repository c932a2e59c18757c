#pragma once

#include "membership/member_key.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphire
{

/// Tracks the probe of one member: a direct ping first, then pings through
/// other members.
class probe_round
{
public:
    /// Time to wait for a direct acknowledgement before other members are asked
    /// to probe; a multiple of the round trip between failure domains.
    static constexpr absl::Duration direct_timeout = absl::Milliseconds(300);
    /// Time to wait for any acknowledgement, measured from the direct ping.
    static constexpr absl::Duration total_timeout = absl::Seconds(1);

    probe_round(member_key target, std::uint64_t sequence, absl::Time now)
        : target_(std::move(target)), sequence_(sequence),
          indirect_ping_at_(now + direct_timeout),
          deadline_(now + total_timeout)
    {
    }

    member_key const& target() const
    {
        return target_;
    }

    std::uint64_t sequence() const
    {
        return sequence_;
    }

    /// Returns true once, at the first call after direct_timeout has passed,
    /// when other members should be asked to probe.
    bool try_start_indirect(absl::Time now)
    {
        if (now < indirect_ping_at_)
            return false;
        indirect_ping_at_ = absl::InfiniteFuture();
        return true;
    }

    bool has_ended(absl::Time now) const
    {
        return now >= deadline_;
    }

    absl::Time next_deadline() const
    {
        return std::min(indirect_ping_at_, deadline_);
    }

private:
    member_key target_;
    std::uint64_t sequence_;
    absl::Time indirect_ping_at_;
    absl::Time deadline_;
};

} // namespace samphire
