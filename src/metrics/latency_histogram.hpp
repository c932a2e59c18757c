#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Durations counted in fixed buckets, so that the counts of many processes
/// can be added.
class latency_histogram
{
public:
    /// Upper ends of the buckets in seconds; one more holds what is longer.
    static constexpr std::array<double, 12> bounds{
        0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5};

    void record(double seconds)
    {
        std::size_t bucket = 0;
        while (bucket < bounds.size() && seconds > bounds[bucket])
            ++bucket;
        ++counts_[bucket];
        sum_ += seconds;
    }

    /// Durations of at most bounds[bucket]; the last is the count of all.
    std::uint64_t up_to(std::size_t bucket) const
    {
        std::uint64_t total = 0;
        for (std::size_t i = 0; i <= bucket && i < counts_.size(); ++i)
            total += counts_[i];
        return total;
    }

    std::uint64_t count() const
    {
        return up_to(bounds.size());
    }

    double sum() const
    {
        return sum_;
    }

private:
    std::array<std::uint64_t, bounds.size() + 1> counts_{};
    double sum_{};
};

} // namespace samphire
