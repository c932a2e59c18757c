#include "routing/latency_tracker.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Maximum factor by which one completed call raises the median or, unless its
// latency is much shorter, lowers the median. Five longer latencies in a row
// triple the median, which is the threshold for a straggler; single long calls
// change the median little.
constexpr double median_step = 1.25;
// Factor by which a much shorter latency lowers the median and an unanswered
// call raises the median. The factor is larger than median_step because a
// straggler gets few calls to show that it has recovered, and because an
// unanswered call is a stronger sign of a slow peer than a slow answer.
constexpr double large_median_step = 2;
constexpr double far_below_factor = 3;
// The minimum latency grows by this factor with each call, so that the minimum
// adapts to a peer that became permanently slower.
constexpr double min_latency_growth = 1.001;
constexpr absl::Duration min_recorded_latency = absl::Microseconds(1);

} // namespace

void latency_tracker::observe(absl::Duration latency)
{
    absl::Duration const recorded = std::max(latency, min_recorded_latency);
    min_latency_ = std::min(min_latency_ * min_latency_growth, recorded);
    if (empty())
        median_latency_ = recorded;
    else if (recorded > median_latency_)
        median_latency_ = std::min(recorded, median_latency_ * median_step);
    else if (recorded * far_below_factor < median_latency_)
        median_latency_ /= large_median_step;
    else
        median_latency_ = std::max(recorded, median_latency_ / median_step);
}

void latency_tracker::observe_unanswered(absl::Duration latency)
{
    if (latency > median_latency_)
        median_latency_ =
            empty() ? latency
                    : std::min(latency, median_latency_ * large_median_step);
}

} // namespace samphire
