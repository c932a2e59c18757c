#pragma once

#include "load/arrival_shape.hpp"

namespace samphire
{

/// Arrival rate that is the same for the whole run.
struct constant_shape
{
    double const arrivals_per_s_{};

    double arrivals_per_s_at(absl::Duration) const
    {
        return arrivals_per_s_;
    }

    double max_arrivals_per_s() const
    {
        return arrivals_per_s_;
    }

    friend bool
    operator==(constant_shape const&, constant_shape const&) = default;
};

static_assert(arrival_shape<constant_shape>);

} // namespace samphire
