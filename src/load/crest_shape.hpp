#pragma once

#include "load/arrival_shape.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace samphire
{

/// Rises from the rate to the crest in the middle of the run and falls again,
/// as half a sine wave.
struct crest_shape
{
    double const rate_{};
    double const crest_rate_{};
    absl::Duration const length_{};

    double rate_at(absl::Duration since_start) const
    {
        double const share = absl::FDivDuration(since_start, length_);
        return rate_ +
               (crest_rate_ - rate_) * std::sin(std::numbers::pi * share);
    }

    double highest_rate() const
    {
        return std::max(rate_, crest_rate_);
    }

    friend bool operator==(crest_shape const&, crest_shape const&) = default;
};

static_assert(arrival_shape<crest_shape>);

} // namespace samphire
