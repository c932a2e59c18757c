#include "admission/priority_histogram.hpp"

#include <algorithm>
#include <numeric>

namespace samphire
{

namespace
{

constexpr double fade_factor = 0.9;

} // namespace

void priority_histogram::add(std::uint64_t priority)
{
    bins_[std::min<std::size_t>(priority / bin_width, bins_.size() - 1)] += 1;
}

void priority_histogram::fade(std::uint64_t level)
{
    for (std::size_t i = level / bin_width; i < bins_.size(); ++i)
        bins_[i] *= fade_factor;
}

std::uint64_t priority_histogram::raise(std::uint64_t level, double share) const
{
    double const wanted = share * admitted(level);
    double shed = 0;
    std::size_t bin = level / bin_width;
    while (bin < bins_.size() && shed < wanted)
        shed += bins_[bin++];
    return bin * bin_width;
}

std::uint64_t priority_histogram::lower(std::uint64_t level, double share) const
{
    double const wanted = share * admitted(level);
    double added = 0;
    std::size_t bin = level / bin_width;
    // At least one bin, also when nothing is known of the load below.
    if (bin > 0)
        added += bins_[--bin];
    while (bin > 0 && added + bins_[bin - 1] <= wanted)
        added += bins_[--bin];
    return bin * bin_width;
}

double priority_histogram::admitted(std::uint64_t level) const
{
    auto const first =
        bins_.begin() + static_cast<std::ptrdiff_t>(level / bin_width);
    return std::accumulate(first, bins_.end(), 0.0);
}

} // namespace samphire
