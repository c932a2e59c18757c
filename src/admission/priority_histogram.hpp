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
    /// Returns the level above `level` at which `ratio` of the requests
    /// admitted at `level` is shed.
    std::uint64_t raised_level(std::uint64_t level, double ratio) const;
    /// Returns the level below `level` at which `ratio` more requests are
    /// admitted.
    std::uint64_t lowered_level(std::uint64_t level, double ratio) const;

private:
    double admitted_requests(std::uint64_t level) const;

    static constexpr std::size_t bin_width = 4;
    std::array<double, priority_limit / bin_width> bins_{};
};

} // namespace samphire
