#pragma once

#include "load/arrival_shape.hpp"

#include <algorithm>

namespace samphire
{

/// Arrival rate that switches to the burst rate at the start of a burst and
/// back at its end. A burst that ends after the run is a step.
struct burst_shape
{
    double const rate_{};
    double const burst_rate_{};
    absl::Duration const start_{};
    absl::Duration const end_{};

    double rate_at(absl::Duration since_start) const
    {
        return since_start >= start_ && since_start < end_ ? burst_rate_
                                                           : rate_;
    }

    double max_rate() const
    {
        return std::max(rate_, burst_rate_);
    }

    friend bool operator==(burst_shape const&, burst_shape const&) = default;
};

static_assert(arrival_shape<burst_shape>);

} // namespace samphire
