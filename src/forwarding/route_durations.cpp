#include "forwarding/route_durations.hpp"

namespace samphire
{

void route_durations::observe(route_name const& route, absl::Duration duration)
{
    auto const found = estimates_by_route_.find(route);
    if (found == estimates_by_route_.end())
    {
        if (estimates_by_route_.size() < max_routes)
            estimates_by_route_.emplace(
                route, estimate{duration, duration / 2});
        return;
    }
    estimate& known = found->second;
    absl::Duration const error = absl::AbsDuration(duration - known.mean_);
    known.deviation_ += newest_deviation_weight * (error - known.deviation_);
    known.mean_ += newest_weight * (duration - known.mean_);
}

std::optional<absl::Duration>
route_durations::typical_maximum(route_name const& route) const
{
    auto const found = estimates_by_route_.find(route);
    if (found == estimates_by_route_.end())
        return std::nullopt;
    return found->second.mean_ + deviations * found->second.deviation_;
}

} // namespace samphire
