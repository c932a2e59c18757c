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
        std::exponential_distribution<double> gap(shape_.max_rate());
        std::uniform_real_distribution<double> thinning(0.0, shape_.max_rate());
        do
            last_ += absl::Seconds(gap(random_));
        while (thinning(random_) >= shape_.rate_at(last_));
        return last_;
    }

private:
    Shape const shape_;
    random_source random_;
    absl::Duration last_{};
};

} // namespace samphire
