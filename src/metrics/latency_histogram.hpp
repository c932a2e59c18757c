#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Counts durations in fixed buckets, so that the counts of several processes
/// can be added up.
class latency_histogram
{
public:
    /// Upper bounds of the buckets; one more bucket counts longer durations.
    static constexpr std::array<double, 12> upper_bounds_s{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    void record(double seconds)
    {
        std::size_t bucket = 0;
        while (bucket < upper_bounds_s.size() &&
               seconds > upper_bounds_s[bucket])
            ++bucket;
        ++counts_[bucket];
        sum_seconds_ += seconds;
    }

    /// Returns the number of durations up to upper_bounds_s[bucket], or of all
    /// durations for the bucket after the last bound.
    std::uint64_t cumulative_count(std::size_t bucket) const
    {
        std::uint64_t total = 0;
        for (std::size_t i = 0; i <= bucket && i < counts_.size(); ++i)
            total += counts_[i];
        return total;
    }

    std::uint64_t count() const
    {
        return cumulative_count(upper_bounds_s.size());
    }

    /// Sum of all durations in seconds.
    double sum() const
    {
        return sum_seconds_;
    }

private:
    std::array<std::uint64_t, upper_bounds_s.size() + 1> counts_{};
    double sum_seconds_{};
};

} // namespace samphire
