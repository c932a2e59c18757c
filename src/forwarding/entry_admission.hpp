#pragma once

#include "base/random_source.hpp"
#include "forwarding/admission_verdict.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/pressure_table.hpp"
#include "forwarding/route_index.hpp"
#include "forwarding/route_needs.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Refuses requests of clients that a service on their call graph has no room
/// for, least urgent first, before any work is done for them. Calls of running
/// requests are not refused here, since that would waste their parents' work.
/// Answers a crest that meets its limit deep in the graph.
class entry_admission
{
public:
    /// The outcome of a request of `route`.
    void on_result(
        route_rule const& route, execute_result const& result, absl::Time now);

    /// Whether the request is begun. `service`: the one that it goes to.
    admission_verdict decide(
        route_index const& routes,
        route_rule const& route,
        service_pressure const& service,
        random_source& random,
        absl::Time now);

    /// Services that requests of the route have been seen to call.
    std::vector<service_name>
    needed_by(route_rule const& route, absl::Time now) const
    {
        return needs_.of(route.name_, now);
    }

private:
    /// Highest level that a service further down its call graph asks for.
    double level(route_rule const& route, absl::Time now) const;

    pressure_table pressures_;
    route_needs needs_;
};

} // namespace samphire
