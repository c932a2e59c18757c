#include "admission/priority_histogram.hpp"

#include <algorithm>
#include <numeric>

namespace samphire
{

namespace
{

constexpr double decay_factor = 0.9;

} // namespace

void priority_histogram::add(std::uint64_t priority)
{
    bins_[std::min<std::size_t>(priority / bin_width, bins_.size() - 1)] += 1;
}

void priority_histogram::decay(std::uint64_t level)
{
    for (std::size_t i = level / bin_width; i < bins_.size(); ++i)
        bins_[i] *= decay_factor;
}

std::uint64_t priority_histogram::raise(std::uint64_t level, double ratio) const
{
    double const target_count = ratio * admitted_count(level);
    double shed_count = 0;
    std::size_t bin = level / bin_width;
    while (bin < bins_.size() && shed_count < target_count)
        shed_count += bins_[bin++];
    return bin * bin_width;
}

std::uint64_t priority_histogram::lower(std::uint64_t level, double ratio) const
{
    double const target_count = ratio * admitted_count(level);
    double added_count = 0;
    std::size_t bin = level / bin_width;
    // Lowers the level by at least one bin, even if no request below it was
    // counted.
    if (bin > 0)
        added_count += bins_[--bin];
    while (bin > 0 && added_count + bins_[bin - 1] <= target_count)
        added_count += bins_[--bin];
    return bin * bin_width;
}

double priority_histogram::admitted_count(std::uint64_t level) const
{
    auto const first =
        bins_.begin() + static_cast<std::ptrdiff_t>(level / bin_width);
    return std::accumulate(first, bins_.end(), 0.0);
}

} // namespace samphire
