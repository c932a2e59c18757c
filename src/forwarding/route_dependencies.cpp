#include "forwarding/route_dependencies.hpp"

namespace samphire
{

void route_dependencies::observe(
    route_name const& route,
    std::vector<service_pressure> const& pressures,
    absl::Time now)
{
    bool const known = routes_.contains(route);
    if (pressures.empty() || (!known && routes_.size() >= max_routes))
        return;
    last_seen& services = routes_[route];
    for (service_pressure const& pressure : pressures)
        services[pressure.service_] = now;
}

std::vector<service_name>
route_dependencies::services_of(route_name const& route, absl::Time now) const
{
    std::vector<service_name> result;
    auto const found = routes_.find(route);
    if (found == routes_.end())
        return result;
    for (auto const& [service, at] : found->second)
    {
        if (at + retention > now)
            result.push_back(service);
    }
    return result;
}

} // namespace samphire
