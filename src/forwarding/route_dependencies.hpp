#pragma once

#include "base/route_name.hpp"
#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire
{

/// Records which services the requests of each route call, directly or further
/// down the call graph, as observed for earlier requests.
class route_dependencies
{
public:
    /// Records the calls that were made for a request of the route: one element
    /// of `pressures` for each service that was called.
    void observe(
        route_name const& route,
        std::vector<service_pressure> const& pressures,
        absl::Time now);

    /// Returns the services that requests of the route have called; empty when
    /// none are known.
    std::vector<service_name>
    services_of(route_name const& route, absl::Time now) const;

private:
    /// A service that requests of a route have not called for this time is no
    /// longer returned for the route.
    static constexpr absl::Duration call_retention_period = absl::Seconds(60);
    static constexpr std::size_t max_routes = 4096;

    /// Time of the last call to each service.
    using last_call_times = absl::flat_hash_map<service_name, absl::Time>;

    absl::flat_hash_map<route_name, last_call_times> last_calls_by_route_;
};

} // namespace samphire
