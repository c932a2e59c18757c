#pragma once

#include "forwarding/route_rule.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace samphire
{

/// Deals the requests of a split route to its services in the proportion of
/// their weights (smooth weighted round robin). The share of each service is
/// exact over any span, which a random draw is not over a few requests.
class weighted_rotation
{
public:
    service_name const& next(route_rule const& route);

    /// Forgets routes, after a change of the policy.
    void clear()
    {
        credits_.clear();
    }

private:
    absl::flat_hash_map<route_name, std::vector<std::int64_t>> credits_;
};

} // namespace samphire
