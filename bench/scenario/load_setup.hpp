#pragma once

#include "scenario/resend_mode.hpp"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace samphire::scenario
{

/// Callers of one route.
struct load_setup
{
    std::string const service_{};
    std::string const route_{};
    /// Requests a second; arrivals do not wait for answers.
    double const rate_{1.0};
    absl::Duration const from_{};
    absl::Duration const to_{absl::Seconds(1)};
    absl::Duration const timeout_{absl::Seconds(2)};
    /// Nodes whose daemons the callers use, in turn; a resend uses the next.
    std::vector<std::string> const entries_{};
    resend_mode const resend_{resend_mode::none};
    unsigned const resends_{1};
    absl::Duration const resend_after_{absl::Milliseconds(100)};
    /// The same body for every request; empty for bodies of their own.
    std::string const body_{};

    friend bool operator==(load_setup const&, load_setup const&) = default;
};

} // namespace samphire::scenario
