#include "forwarding/entry_admission.hpp"

#include "base/uniform_draw.hpp"

#include <algorithm>

namespace samphire
{

void entry_admission::on_result(
    route_rule const& route, execute_result const& result, absl::Time now)
{
    for (service_pressure const& pressure : result.pressures_)
        pressures_.observe(pressure, now);
    needs_.observe(route.name_, result.pressures_, now);
}

double entry_admission::level(route_rule const& route, absl::Time now) const
{
    double highest = 0;
    for (service_name const& needed : needs_.of(route.name_, now))
        highest = std::max(highest, pressures_.level(needed, now));
    return highest;
}

admission_verdict entry_admission::decide(
    route_index const& routes,
    route_rule const& route,
    service_pressure const& service,
    random_source& random,
    absl::Time now)
{
    pressures_.observe(service, now);
    double const highest =
        std::max(level(route, now), pressures_.level(service.service_, now));
    double const admitted =
        std::clamp(1 + routes.urgency(route.priority_) - highest, 0.0, 1.0);
    bool const taken = uniform_draw(random) < admitted;
    double const weight = taken ? 1 / admitted : 1;
    return {.admitted_ = taken, .weight_ = weight, .level_ = highest};
}

} // namespace samphire
