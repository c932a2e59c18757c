#pragma once

#include "membership/member_key.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace samphire
{

/// The probe of one member.
class probe_round
{
public:
    /// Time for a direct acknowledgement before other members are asked to
    /// probe; a multiple of the round trip between failure domains.
    static constexpr absl::Duration direct_wait = absl::Milliseconds(300);
    /// Time for any acknowledgement.
    static constexpr absl::Duration length = absl::Seconds(1);

    probe_round(member_key target, std::uint64_t sequence, absl::Time now)
        : target_(std::move(target)), sequence_(sequence),
          indirect_at_(now + direct_wait), end_(now + length)
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

    /// True once, when direct_wait has passed.
    bool take_indirect(absl::Time now)
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
