#include "admission/level_table.hpp"

#include <algorithm>
#include <cmath>

namespace samphire
{

namespace
{

// The guards of a service differ in their levels; the mean over about ten
// answers is what a request meets.
constexpr double level_weight = 0.1;
// Longer than most requests take, so that answers under way arrive first.
constexpr absl::Duration hold = absl::Milliseconds(200);
// From the highest level to zero in 1.5 s: recovery within 2 s.
constexpr double fall_per_second = 256;

} // namespace

level_table::level_table(std::size_t capacity) : capacity_(capacity)
{
}

void level_table::observe(
    service_name const& service,
    route_name const& route,
    admission_level level,
    absl::Time now)
{
    auto const seen = static_cast<double>(level.value());
    auto const found = levels_.find(key(service, route));
    if (found != levels_.end())
    {
        double const known = faded(found->second, now);
        found->second = {known + (seen - known) * level_weight, now};
        return;
    }
    if (levels_.size() < capacity_)
        levels_.emplace(key(service, route), observed_level{seen, now});
}

admission_level level_table::current(
    service_name const& service, route_name const& route, absl::Time now) const
{
    auto const found = levels_.find(key(service, route));
    if (found == levels_.end())
        return {};
    return admission_level(
        static_cast<std::uint64_t>(std::lround(faded(found->second, now))));
}

double level_table::faded(observed_level const& observed, absl::Time now)
{
    double const silent = absl::ToDoubleSeconds(now - observed.at_ - hold);
    return std::max(
        0.0, observed.mean_ - std::max(0.0, silent) * fall_per_second);
}

} // namespace samphire
