#pragma once

#include "admission/request_priority.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Counts offered requests by priority, so that the admission level can be
/// changed by a ratio of the load. Level steps of fixed size could contain no
/// requests.
class priority_histogram
{
public:
    void add(std::uint64_t priority);
    /// Reduces the counts at and above `level` by a constant factor. Requests
    /// below the level are shed before they reach this guard, so their last
    /// known counts are kept.
    void decay(std::uint64_t level);
    /// Returns the lowest level above `level` that sheds at least `ratio` of
    /// the requests admitted at `level`.
    std::uint64_t
    level_that_sheds_ratio(std::uint64_t level, double ratio) const;
    /// Returns the lowest level that admits at most `ratio` more requests than
    /// `level`, but a level at least one bin below `level`.
    std::uint64_t
    level_that_admits_ratio_more(std::uint64_t level, double ratio) const;

private:
    double admitted_requests(std::uint64_t level) const;

    static constexpr std::size_t bin_width = 4;
    std::array<double, priority_limit / bin_width> bins_{};
};

} // namespace samphire
