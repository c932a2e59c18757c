#include "forwarding/route_dependencies.hpp"

namespace samphire
{

void route_dependencies::observe(
    route_name const& route,
    std::vector<service_pressure> const& pressures,
    absl::Time now)
{
    bool const is_known_route = last_calls_by_route_.contains(route);
    if (pressures.empty() ||
        (!is_known_route && last_calls_by_route_.size() >= max_routes))
        return;
    last_call_times& services = last_calls_by_route_[route];
    for (service_pressure const& pressure : pressures)
        services[pressure.service_] = now;
}

std::vector<service_name>
route_dependencies::services_of(route_name const& route, absl::Time now) const
{
    std::vector<service_name> result;
    auto const found = last_calls_by_route_.find(route);
    if (found == last_calls_by_route_.end())
        return result;
    for (auto const& [service, at] : found->second)
    {
        if (at + call_retention_period > now)
            result.push_back(service);
    }
    return result;
}

} // namespace samphire
