#pragma once

#include "membership/member_key.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphire
{

/// Probe of one member: a direct ping first, then pings through other members.
class probe_round
{
public:
    /// Time to wait for a direct acknowledgement before other members are asked
    /// to probe; a multiple of the round trip between failure domains.
    static constexpr absl::Duration direct_timeout = absl::Milliseconds(300);
    /// Time to wait for any acknowledgement.
    static constexpr absl::Duration timeout = absl::Seconds(1);

    probe_round(member_key target, std::uint64_t sequence, absl::Time now)
        : target_(std::move(target)), sequence_(sequence),
          indirect_at_(now + direct_timeout), end_(now + timeout)
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

    /// True once, at the first call after direct_timeout has passed.
    bool start_indirect(absl::Time now)
    {
        if (now < indirect_at_)
            return false;
        indirect_at_ = absl::InfiniteFuture();
        return true;
    }

    bool ended(absl::Time now) const
    {
        return now >= end_;
    }

    absl::Time next_deadline() const
    {
        return std::min(indirect_at_, end_);
    }

private:
    member_key target_;
    std::uint64_t sequence_;
    absl::Time indirect_at_;
    absl::Time end_;
};

} // namespace samphire
