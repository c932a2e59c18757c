#pragma once

#include "load/arrival_shape.hpp"

namespace samphire
{

/// Arrival rate that is the same for the whole run.
struct constant_shape
{
    double const rate_{};

    double rate_at(absl::Duration) const
    {
        return rate_;
    }

    double max_rate() const
    {
        return rate_;
    }

    friend bool
    operator==(constant_shape const&, constant_shape const&) = default;
};

static_assert(arrival_shape<constant_shape>);

} // namespace samphire
