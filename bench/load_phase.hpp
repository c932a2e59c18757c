#pragma once

#include <absl/time/time.h>

namespace samphire::bench
{

/// A stretch of time with a constant rate of requests.
struct load_phase
{
    absl::Duration const length_{};
    /// Requests per second, whatever the answers are.
    double const rate_{};

    friend bool operator==(load_phase const&, load_phase const&) = default;
};

} // namespace samphire::bench
