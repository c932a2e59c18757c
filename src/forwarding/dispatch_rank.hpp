#pragma once

#include <compare>
#include <cstdint>

namespace samphire
{

/// Position of a waiting request in the order in which requests get a slot; the
/// lowest rank gets a slot first.
struct dispatch_rank
{
    /// Lower values are more urgent; see dispatch_order::dispatch_priority().
    std::int32_t priority_{};
    /// Number of the request in the order in which requests arrived at the
    /// guard.
    std::uint64_t arrival_{};

    friend bool
    operator==(dispatch_rank const&, dispatch_rank const&) = default;
    friend auto
    operator<=>(dispatch_rank const&, dispatch_rank const&) = default;
};

} // namespace samphire
