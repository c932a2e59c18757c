#include "load/route_record.hpp"

#include <algorithm>

namespace samphire
{

void route_record::add_outcome(load_outcome outcome, absl::Duration latency)
{
    ++outcome_counts_[static_cast<std::size_t>(outcome)];
    if (outcome == load_outcome::whole)
        latencies_ms_.push_back(absl::ToDoubleMilliseconds(latency));
}

latency_summary route_record::latency() const
{
    if (latencies_ms_.empty())
        return {};
    std::vector<double> sorted = latencies_ms_;
    std::sort(sorted.begin(), sorted.end());
    auto const quantile = [&](std::size_t percent)
    {
        return sorted[(sorted.size() - 1) * percent / 100];
    };
    return {
        sorted.size(), quantile(50), quantile(95), quantile(99), sorted.back()};
}

} // namespace samphire
