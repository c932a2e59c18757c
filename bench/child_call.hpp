#pragma once

#include "base/route_name.hpp"
#include "base/service_name.hpp"

namespace samphire::fake
{

/// A call that a fake upstream makes while it runs a request.
struct child_call
{
    service_name const service_{};
    /// Empty: the child call uses the route of the request.
    route_name const route_{};

    friend bool operator==(child_call const&, child_call const&) = default;
};

} // namespace samphire::fake
