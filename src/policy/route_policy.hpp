#pragma once

#include "base/route_name.hpp"
#include "policy/called_route.hpp"
#include "policy/importance.hpp"
#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// What operators state about one route of a service. The defaults are the
/// safe ones for a route that no document names: never repeated.
struct route_policy
{
    route_name const route_{};
    importance const importance_{importance::normal};
    bool const unrepeatable_{true};
    work_class const work_class_{work_class::short_work};
    /// Longest time that a call may take; a caller may ask for less.
    absl::Duration const timeout_{absl::Seconds(10)};
    /// Routes that a request to this one calls, where operators state them.
    std::vector<called_route> const calls_{};

    friend bool operator==(route_policy const&, route_policy const&) = default;
};

} // namespace samphire
