#include "forwarding/route_needs.hpp"

namespace samphire
{

void route_needs::observe(
    route_name const& route,
    std::vector<service_pressure> const& pressures,
    absl::Time now)
{
    bool const known = routes_.contains(route);
    if (pressures.empty() || (!known && routes_.size() >= route_capacity))
        return;
    last_seen& services = routes_[route];
    for (service_pressure const& pressure : pressures)
        services[pressure.service_] = now;
}

std::vector<service_name>
route_needs::of(route_name const& route, absl::Time now) const
{
    std::vector<service_name> result;
    auto const found = routes_.find(route);
    if (found == routes_.end())
        return result;
    for (auto const& [service, at] : found->second)
    {
        if (at + memory > now)
            result.push_back(service);
    }
    return result;
}

} // namespace samphire
