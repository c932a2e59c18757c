#include "routing/latency_tracker.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Five latencies in a row above it triple the median, which is where a
// straggler is recognised; single long calls hardly move it.
constexpr double step = 1.25;
// A straggler is tried rarely, so one fast answer counts for more, and a call
// that got no answer at all for more than a slow one.
constexpr double large_step = 2;
constexpr double far_below = 3;
// The least latency rises by this factor with each call, so that it follows a
// peer that became slower for good.
constexpr double least_rise = 1.001;
constexpr absl::Duration shortest = absl::Microseconds(1);

} // namespace

void latency_tracker::observe(absl::Duration latency)
{
    absl::Duration const seen = std::max(latency, shortest);
    least_ = std::min(least_ * least_rise, seen);
    if (empty())
        median_ = seen;
    else if (seen > median_)
        median_ = std::min(seen, median_ * step);
    else if (seen * far_below < median_)
        median_ /= large_step;
    else
        median_ = std::max(seen, median_ / step);
}

void latency_tracker::observe_lost(absl::Duration latency)
{
    if (latency > median_)
        median_ = empty() ? latency : std::min(latency, median_ * large_step);
}

} // namespace samphire
