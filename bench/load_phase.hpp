#pragma once

#include <absl/time/time.h>

namespace samphire::bench
{

/// Part of a run in which requests arrive at one rate.
struct load_phase
{
    absl::Duration const length_{};
    /// Rate at which requests are sent. Requests do not wait for the answers of
    /// earlier requests.
    double const rate_per_s_{};

    friend bool operator==(load_phase const&, load_phase const&) = default;
};

} // namespace samphire::bench
