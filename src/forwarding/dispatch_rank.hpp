#pragma once

#include <compare>
#include <cstdint>

namespace samphire
{

/// Order in which waiting requests get a slot; the lowest rank is first.
struct dispatch_rank
{
    std::int32_t priority_{};
    /// Sequence number of the arrival at the guard.
    std::uint64_t arrival_{};

    friend bool
    operator==(dispatch_rank const&, dispatch_rank const&) = default;
    friend auto
    operator<=>(dispatch_rank const&, dispatch_rank const&) = default;
};

} // namespace samphire
