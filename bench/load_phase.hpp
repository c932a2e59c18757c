#pragma once

#include <absl/time/time.h>

namespace samphire::bench
{

/// Length and request rate of one part of a run.
struct load_phase
{
    absl::Duration const length_{};
    /// Arrivals do not wait for answers.
    double const rate_per_s_{};

    friend bool operator==(load_phase const&, load_phase const&) = default;
};

} // namespace samphire::bench
