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
    double const rate_{};
    double const peak_rate_{};
    absl::Duration const length_{};

    double rate_at(absl::Duration since_start) const
    {
        double const elapsed_ratio = absl::FDivDuration(since_start, length_);
        return rate_ + (peak_rate_ - rate_) *
                           std::sin(std::numbers::pi * elapsed_ratio);
    }

    double max_rate() const
    {
        return std::max(rate_, peak_rate_);
    }

    friend bool operator==(peak_shape const&, peak_shape const&) = default;
};

static_assert(arrival_shape<peak_shape>);

} // namespace samphire
