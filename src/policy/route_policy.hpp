#pragma once

#include "base/route_name.hpp"
#include "policy/called_route.hpp"
#include "policy/importance.hpp"
#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// Policy of one route of a service. The defaults are safe for a route that no
/// policy document names: requests to the route are never repeated.
struct route_policy
{
    route_name const route_{};
    importance const importance_{importance::normal};
    bool const unrepeatable_{true};
    work_class const work_class_{work_class::short_work};
    /// Maximum time that a call may take; a caller may request less.
    absl::Duration const timeout_{absl::Seconds(10)};
    /// Routes that a request to this route calls, if operators listed them.
    std::vector<called_route> const calls_{};

    friend bool operator==(route_policy const&, route_policy const&) = default;
};

} // namespace samphire
