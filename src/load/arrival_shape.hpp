#pragma once

#include <absl/time/time.h>

#include <concepts>

namespace samphire
{

/// Requires functions that return the arrival rate over the time of a run.
template <class T>
concept arrival_shape = requires(T const shape, absl::Duration since_start)
{
    /// Returns the arrivals per second at that time.
    {
        shape.arrivals_per_s_at(since_start)
        } -> std::same_as<double>;
    /// Returns an upper bound of the arrivals per second over the whole run.
    {
        shape.max_arrivals_per_s()
        } -> std::same_as<double>;
};

} // namespace samphire
