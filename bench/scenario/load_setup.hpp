#pragma once

#include "scenario/resend_mode.hpp"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace samphire::scenario
{

/// Rate, entries and resends of the requests that callers send to one route.
struct load_setup
{
    std::string const service_{};
    std::string const route_{};
    /// Rate at which requests are sent. Requests do not wait for the answers of
    /// earlier requests.
    double const rate_per_s_{1.0};
    absl::Duration const from_{};
    absl::Duration const to_{absl::Seconds(1)};
    absl::Duration const timeout_{absl::Seconds(2)};
    /// Nodes whose daemons the callers use in rotation; a resend uses the next
    /// node. Empty for all nodes.
    std::vector<std::string> const entries_{};
    resend_mode const resend_{resend_mode::none};
    unsigned const max_resends_{1};
    absl::Duration const resend_delay_{absl::Milliseconds(100)};
    /// Body of every request; empty to give each request a unique body.
    std::string const body_{};

    friend bool operator==(load_setup const&, load_setup const&) = default;
};

} // namespace samphire::scenario
