#pragma once

#include "base/endpoint.hpp"
#include "membership/member_key.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace samphire
{

/// The probe of one member that is in progress.
class probe_round
{
public:
    /// Time for a direct acknowledgement before other members are asked to
    /// probe; a multiple of the round trip between failure domains.
    static constexpr absl::Duration direct_wait = absl::Milliseconds(300);

    void
    start(member_key const& target, std::uint64_t sequence, absl::Time now);
    void acknowledge(std::uint64_t sequence);
    /// True once, when direct_wait has passed without an acknowledgement.
    bool take_indirect(absl::Time now);
    /// Ends the round; the target if it did not acknowledge.
    std::optional<member_key> finish();

    std::optional<member_key> const& target() const
    {
        return target_;
    }

    std::uint64_t sequence() const
    {
        return sequence_;
    }

    /// When take_indirect() is due; infinite when it is not.
    absl::Time next_deadline() const;

private:
    std::optional<member_key> target_;
    std::uint64_t sequence_{};
    absl::Time indirect_at_{absl::InfiniteFuture()};
};

} // namespace samphire
