#pragma once

#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire::fake
{

/// A call that an upstream makes for each request of a route.
struct child_call
{
    service_name const service_{};
    /// Empty for the route of the request itself.
    route_name const route_{};

    friend bool operator==(child_call const&, child_call const&) = default;
};

} // namespace samphire::fake
