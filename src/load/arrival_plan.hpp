#pragma once

#include "base/random_source.hpp"
#include "load/arrival_shape.hpp"

#include <random>

namespace samphire
{

/// Generates the arrival times of an open-loop run as a Poisson process whose
/// rate follows a shape, by thinning a Poisson process of the maximum rate.
template <arrival_shape Shape>
class arrival_plan
{
public:
    arrival_plan(Shape shape, std::uint64_t seed) : shape_(shape), random_(seed)
    {
    }

    /// Returns the time from the start of the run to the next arrival.
    absl::Duration next()
    {
        std::exponential_distribution<double> gap(shape_.max_arrivals_per_s());
        std::uniform_real_distribution<double> thinning(
            0.0, shape_.max_arrivals_per_s());
        do
            last_arrival_offset_ += absl::Seconds(gap(random_));
        while (thinning(random_) >=
               shape_.arrivals_per_s_at(last_arrival_offset_));
        return last_arrival_offset_;
    }

private:
    Shape const shape_;
    random_source random_;
    absl::Duration last_arrival_offset_{};
};

} // namespace samphire
