#pragma once

#include "base/random_source.hpp"
#include "forwarding/placement.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace samphire
{

/// Compile-time strategy that chooses one of the upstreams of a service for a
/// request; see least_wait_placement. Unrelated to the operators' policy.
template <class T>
concept placement_policy = requires(
    T policy,
    std::vector<peer_state*> const& candidates,
    std::vector<endpoint> const& tried,
    std::string const& zone,
    bool may_explore,
    absl::Time now,
    random_source& random)
{
    {
        policy.choose(candidates, tried, zone, may_explore, now, random)
        } -> std::same_as<std::optional<placement>>;
};

} // namespace samphire
