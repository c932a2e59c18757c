#pragma once

#include "forwarding/route_rule.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace samphire
{

/// Distributes the requests of a split route over its services in proportion to
/// their weights (smooth weighted round robin). The ratio of the services is
/// accurate even over a few requests, unlike that of a random choice.
class weighted_round_robin
{
public:
    /// Returns the service that executes the next request of the route.
    service_name const& next(route_rule const& route);

    /// Discards the credits of all routes; called when the operators' policy
    /// has changed.
    void clear()
    {
        credits_by_route_.clear();
    }

private:
    /// Credits of the services of each route, in the order of
    /// route_rule::shares_. The service with the most credits gets the next
    /// request.
    absl::flat_hash_map<route_name, std::vector<std::int64_t>>
        credits_by_route_;
};

} // namespace samphire
