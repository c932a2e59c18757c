#pragma once

#include "forwarding/client_limits.hpp"
#include "forwarding/route_rule.hpp"
#include "forwarding/service_rule.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphire
{

/// One version of the operators' policy: routes, services and limits.
struct forwarding_policy
{
    /// Version number, which increases with each change, not necessarily by
    /// one.
    std::uint64_t version_{};
    std::vector<route_rule> routes_{};
    std::vector<service_rule> services_{};
    client_limits client_limits_{};
    /// Document in the store from which this policy was decoded. It is passed
    /// on to daemons that cannot reach the store.
    std::string document_{};

    friend bool
    operator==(forwarding_policy const&, forwarding_policy const&) = default;
};

} // namespace samphire
