#include "forwarding/entry_admission.hpp"

#include "base/uniform_draw.hpp"

#include <algorithm>

namespace samphire
{

void entry_admission::on_result(
    route_rule const& route, execute_result const& result, absl::Time now)
{
    for (service_pressure const& pressure : result.service_pressures_)
        service_pressures_.observe(pressure, now);
    dependencies_.observe(route.name_, result.service_pressures_, now);
}

double
entry_admission::route_pressure(route_rule const& route, absl::Time now) const
{
    double max_pressure = 0;
    for (service_name const& called :
         dependencies_.services_of(route.name_, now))
        max_pressure =
            std::max(max_pressure, service_pressures_.pressure_of(called, now));
    return max_pressure;
}

admission_verdict entry_admission::decide(
    route_index const& routes,
    route_rule const& route,
    service_pressure const& service,
    random_source& random,
    absl::Time now)
{
    service_pressures_.observe(service, now);
    double const max_pressure = std::max(
        route_pressure(route, now),
        service_pressures_.pressure_of(service.service_, now));
    double const admitted_ratio = std::clamp(
        1 + routes.urgency(route.priority_) - max_pressure, 0.0, 1.0);
    bool const admitted = uniform_draw(random) < admitted_ratio;
    double const weight = admitted ? 1 / admitted_ratio : 1;
    return {
        .admitted_ = admitted, .weight_ = weight, .pressure_ = max_pressure};
}

} // namespace samphire
