#pragma once

#include <absl/time/time.h>

namespace samphire::bench
{

/// Part of a run with a constant rate of requests.
struct load_phase
{
    absl::Duration const length_{};
    /// Arrivals do not wait for answers.
    double const rate_per_s_{};

    friend bool operator==(load_phase const&, load_phase const&) = default;
};

} // namespace samphire::bench
