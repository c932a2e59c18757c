#pragma once

#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire::fake
{

/// Service and route that a fake upstream calls while it runs a request.
struct child_call
{
    service_name const service_{};
    /// Route of the child call; if empty, the child call uses the route of the
    /// request.
    route_name const route_{};

    friend bool operator==(child_call const&, child_call const&) = default;
};

} // namespace samphire::fake
