#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// For how long another daemon has been unreachable.
struct daemon_reachability
{
    endpoint daemon_{};
    /// Time since the daemon became unreachable; zero while the daemon is
    /// connected.
    absl::Duration unreachable_duration_{};

    friend bool operator==(
        daemon_reachability const&, daemon_reachability const&) = default;
};

} // namespace samphire
