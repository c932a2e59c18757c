#include "forwarding/entry_admission.hpp"

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

double entry_admission::level(
    route_rule const& route,
    service_pressure const& service,
    absl::Time now) const
{
    constexpr double permille = 1000;
    double highest = service.level_permille_ / permille;
    for (service_name const& needed : needs_.of(route.name_, now))
        highest = std::max(highest, pressures_.level(needed, now));
    return highest;
}

bool entry_admission::refuses(
    route_index const& routes,
    route_rule const& route,
    service_pressure const& service,
    random_source& random,
    absl::Time now) const
{
    double const draw =
        static_cast<double>(random() >> 11) / 9007199254740992.0;
    return routes.urgency(route.priority_) + draw < level(route, service, now);
}

} // namespace samphire
