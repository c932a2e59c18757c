#pragma once

#include "base/service_name.hpp"
#include "policy/route_policy.hpp"

#include <vector>

namespace samphire
{

/// Section of the policy document with the route policies of one service.
struct service_policy
{
    service_name const service_{};
    std::vector<route_policy> const routes_{};

    friend bool
    operator==(service_policy const&, service_policy const&) = default;
};

} // namespace samphire
