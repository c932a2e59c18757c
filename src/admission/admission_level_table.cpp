#include "admission/admission_level_table.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// Weight of the admission level of one answer in the moving average, which
// averages over about ten answers: the guards of a service have different
// levels, and a request can reach any of them.
constexpr double sample_weight = 0.1;
// Time from an answer until the average level of its route begins to decay.
// This time is longer than most requests take, so that answers to calls in
// flight arrive before the decay begins.
constexpr absl::Duration decay_delay = absl::Milliseconds(200);
// Reduces the maximum level of 384 to zero in 1.5 s, so that recovery from an
// overload takes less than 2 s.
constexpr double decay_per_second = 256;

} // namespace

admission_level_table::admission_level_table(std::size_t capacity)
    : capacity_(capacity)
{
}

void admission_level_table::observe(
    service_name const& service,
    route_name const& route,
    admission_level level,
    absl::Time now)
{
    auto const sample = static_cast<double>(level.value());
    auto const found = levels_by_route_.find(key(service, route));
    if (found != levels_by_route_.end())
    {
        double const previous = decayed_mean_level(found->second, now);
        found->second = {previous + (sample - previous) * sample_weight, now};
        return;
    }
    if (levels_by_route_.size() < capacity_)
        levels_by_route_.emplace(
            key(service, route), reported_level{sample, now});
}

admission_level admission_level_table::current_level(
    service_name const& service, route_name const& route, absl::Time now) const
{
    auto const found = levels_by_route_.find(key(service, route));
    if (found == levels_by_route_.end())
        return {};
    return admission_level(static_cast<std::uint64_t>(
        std::lround(decayed_mean_level(found->second, now))));
}

double admission_level_table::decayed_mean_level(
    reported_level const& observed, absl::Time now)
{
    double const decay_s =
        absl::ToDoubleSeconds(now - observed.observed_at_ - decay_delay);
    return std::max(
        0.0, observed.mean_level_ - std::max(0.0, decay_s) * decay_per_second);
}

} // namespace samphire
