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

/// Decides which client requests are refused, the least urgent first, when a
/// service in their call graph has no capacity for them. The decision is made
/// before any work is done for the request. Calls of running requests are not
/// refused here, since that would waste the work of their parents. Handles load
/// peaks whose bottleneck lies deep in the call graph.
class entry_admission
{
public:
    /// Records the pressures of the services that were called for a request of
    /// `route`.
    void on_result(
        route_rule const& route, execute_result const& result, absl::Time now);

    /// Decides whether a client request of `route` is admitted. `service`:
    /// pressure of the service that executes the request.
    admission_verdict decide(
        route_index const& routes,
        route_rule const& route,
        service_pressure const& service,
        random_source& random,
        absl::Time now);

    /// Returns the services that requests of the route have called, directly or
    /// further down the call graph.
    std::vector<service_name>
    dependencies_of(route_rule const& route, absl::Time now) const
    {
        return dependencies_.services_of(route.name_, now);
    }

private:
    /// Returns the highest pressure of the services further down the route's
    /// call graph.
    double route_pressure(route_rule const& route, absl::Time now) const;

    pressure_table service_pressures_;
    route_dependencies dependencies_;
};

} // namespace samphire
