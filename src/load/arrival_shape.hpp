#pragma once

#include <absl/time/time.h>

#include <concepts>

namespace samphire
{

/// Arrival rate over the time of a run.
template <class T>
concept arrival_shape = requires(T const shape, absl::Duration since_start)
{
    /// Arrivals per second at that time.
    {
        shape.rate_at(since_start)
        } -> std::same_as<double>;
    /// Upper bound of rate_at over the whole run.
    {
        shape.max_rate()
        } -> std::same_as<double>;
};

} // namespace samphire
