#pragma once

#include "load/arrival_shape.hpp"

#include <algorithm>

namespace samphire
{

/// Switches to another rate at `start_` and back at `end_`: a burst, or a step
/// when `end_` is after the run.
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
