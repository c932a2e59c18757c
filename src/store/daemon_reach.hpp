#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Reachability of another daemon.
struct daemon_reach
{
    endpoint daemon_{};
    /// Time since the daemon became unreachable; zero while it is connected.
    absl::Duration unreached_{};

    friend bool operator==(daemon_reach const&, daemon_reach const&) = default;
};

} // namespace samphire
