#pragma once

#include "admission/request_priority.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Counts offered requests by priority, so that the admission level can be
/// moved by a share of the load. Steps of fixed size may contain no requests.
class priority_histogram
{
public:
    void add(std::uint64_t priority);
    /// Reduces the counts at and above `level` by a constant factor. Requests
    /// below it are shed before they reach this guard, so their last known
    /// counts are kept.
    void decay(std::uint64_t level);
    /// The level above `level` at which `ratio` of the admitted requests is
    /// shed.
    std::uint64_t raise(std::uint64_t level, double ratio) const;
    /// The level below `level` at which `ratio` more requests are admitted.
    std::uint64_t lower(std::uint64_t level, double ratio) const;

private:
    double admitted_count(std::uint64_t level) const;

    static constexpr std::size_t bin_width = 4;
    std::array<double, priority_limit / bin_width> bins_{};
};

} // namespace samphire
