#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// How long another daemon has not been reached.
struct daemon_reach
{
    endpoint daemon_{};
    /// Zero while it is connected.
    absl::Duration unreached_{};

    friend bool operator==(daemon_reach const&, daemon_reach const&) = default;
};

} // namespace samphire
