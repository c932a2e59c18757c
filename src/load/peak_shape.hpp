#pragma once

#include "load/arrival_shape.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace samphire
{

/// Arrival rate that rises to the peak rate in the middle of the run and falls
/// again, as half a sine wave.
struct peak_shape
{
    double const arrivals_per_s_{};
    double const peak_arrivals_per_s_{};
    absl::Duration const run_duration_{};

    double arrivals_per_s_at(absl::Duration since_start) const
    {
        double const elapsed_ratio =
            absl::FDivDuration(since_start, run_duration_);
        return arrivals_per_s_ + (peak_arrivals_per_s_ - arrivals_per_s_) *
                                     std::sin(std::numbers::pi * elapsed_ratio);
    }

    double max_arrivals_per_s() const
    {
        return std::max(arrivals_per_s_, peak_arrivals_per_s_);
    }

    friend bool operator==(peak_shape const&, peak_shape const&) = default;
};

static_assert(arrival_shape<peak_shape>);

} // namespace samphire
