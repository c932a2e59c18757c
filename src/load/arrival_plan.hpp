#pragma once

#include "base/random_source.hpp"
#include "load/arrival_shape.hpp"

#include <random>

namespace samphire
{

/// Times of the arrivals of an open-loop run: a Poisson process whose rate
/// follows a shape, made by thinning one of the highest rate.
template <arrival_shape Shape>
class arrival_plan
{
public:
    arrival_plan(Shape shape, std::uint64_t seed) : shape_(shape), random_(seed)
    {
    }

    /// Time of the next arrival since the start of the run.
    absl::Duration next()
    {
        std::exponential_distribution<double> gap(shape_.highest_rate());
        std::uniform_real_distribution<double> thinning(
            0.0, shape_.highest_rate());
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
