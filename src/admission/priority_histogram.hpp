#pragma once

#include "admission/request_priority.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// How offered requests spread over priorities, so that a level can be moved
/// by a share of the load instead of by steps that may hold no requests.
class priority_histogram
{
public:
    void add(std::uint64_t priority);
    /// Fades the counts at and above the level. What is below is shed at the
    /// entries and not seen here, so its last known counts are kept.
    void fade(std::uint64_t level);
    /// The level above `level` that sheds `share` of the admitted requests.
    std::uint64_t raise(std::uint64_t level, double share) const;
    /// The level below `level` that admits `share` more requests.
    std::uint64_t lower(std::uint64_t level, double share) const;

private:
    double admitted(std::uint64_t level) const;

    static constexpr std::size_t bin_width = 4;
    std::array<double, priority_limit / bin_width> bins_{};
};

} // namespace samphire
