#pragma once

#include "base/random_source.hpp"
#include "forwarding/admission_verdict.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/pressure_table.hpp"
#include "forwarding/route_dependencies.hpp"
#include "forwarding/route_index.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Refuses client requests, the least urgent first, when a service on their
/// call graph has no capacity for them, before any work is done for them. Calls
/// of running requests are not refused here, since that would waste their
/// parents' work. Handles load peaks whose bottleneck lies deep in the call
/// graph.
class entry_admission
{
public:
    /// Records the pressures that a request of `route` met.
    void on_result(
        route_rule const& route, execute_result const& result, absl::Time now);

    /// Decides whether a client request is admitted. `service`: pressure of the
    /// service that the request goes to.
    admission_verdict decide(
        route_index const& routes,
        route_rule const& route,
        service_pressure const& service,
        random_source& random,
        absl::Time now);

    /// Services that requests of the route have been observed to call, directly
    /// or further down the call graph.
    std::vector<service_name>
    dependencies_of(route_rule const& route, absl::Time now) const
    {
        return dependencies_.services_of(route.name_, now);
    }

private:
    /// Highest pressure of the services further down the route's call graph.
    double route_pressure(route_rule const& route, absl::Time now) const;

    pressure_table pressures_;
    route_dependencies dependencies_;
};

} // namespace samphire
