#pragma once

#include "base/route_name.hpp"
#include "base/service_name.hpp"

#include <compare>

namespace samphire
{

/// Service and route that a route calls.
struct called_route
{
    service_name const service_{};
    route_name const route_{};

    friend bool operator==(called_route const&, called_route const&) = default;
    friend auto operator<=>(called_route const&, called_route const&) = default;
};

} // namespace samphire
