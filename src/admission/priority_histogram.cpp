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

std::uint64_t priority_histogram::level_that_sheds_ratio(
    std::uint64_t level, double ratio) const
{
    double const target_requests = ratio * admitted_requests(level);
    double shed_requests = 0;
    std::size_t bin = level / bin_width;
    while (bin < bins_.size() && shed_requests < target_requests)
        shed_requests += bins_[bin++];
    return bin * bin_width;
}

std::uint64_t priority_histogram::level_that_admits_ratio_more(
    std::uint64_t level, double ratio) const
{
    double const target_requests = ratio * admitted_requests(level);
    double added_requests = 0;
    std::size_t bin = level / bin_width;
    // Lowers the level by at least one bin, even if no request below it was
    // counted.
    if (bin > 0)
        added_requests += bins_[--bin];
    while (bin > 0 && added_requests + bins_[bin - 1] <= target_requests)
        added_requests += bins_[--bin];
    return bin * bin_width;
}

double priority_histogram::admitted_requests(std::uint64_t level) const
{
    auto const first =
        bins_.begin() + static_cast<std::ptrdiff_t>(level / bin_width);
    return std::accumulate(first, bins_.end(), 0.0);
}

} // namespace samphire
