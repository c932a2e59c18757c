#pragma once

#include "forwarding/route_rule.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <vector>

namespace samphire
{

/// Distributes the requests of a split route over its services in proportion to
/// their weights (smooth weighted round robin). The shares are accurate even
/// over a few requests, which those of a random choice are not.
class weighted_round_robin
{
public:
    service_name const& next(route_rule const& route);

    /// Resets all routes; called when the policy has changed.
    void clear()
    {
        credits_by_route_.clear();
    }

private:
    absl::flat_hash_map<route_name, std::vector<std::int64_t>> credits_by_route_;
};

} // namespace samphire
