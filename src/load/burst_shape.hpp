#pragma once

#include "load/arrival_shape.hpp"

#include <algorithm>

namespace samphire
{

/// Arrival rate that switches to the burst rate at the start of a burst and
/// back at its end. A burst that ends after the run is a step.
struct burst_shape
{
    double const arrivals_per_s_{};
    double const burst_arrivals_per_s_{};
    absl::Duration const burst_start_offset_{};
    absl::Duration const burst_end_offset_{};

    double arrivals_per_s_at(absl::Duration since_start) const
    {
        return since_start >= burst_start_offset_ &&
                       since_start < burst_end_offset_
                   ? burst_arrivals_per_s_
                   : arrivals_per_s_;
    }

    double max_arrivals_per_s() const
    {
        return std::max(arrivals_per_s_, burst_arrivals_per_s_);
    }

    friend bool operator==(burst_shape const&, burst_shape const&) = default;
};

static_assert(arrival_shape<burst_shape>);

} // namespace samphire
