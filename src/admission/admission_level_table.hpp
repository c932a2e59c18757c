#pragma once

#include "admission/admission_level.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <utility>

namespace samphire
{

/// Stores the admission levels that answers reported for each route, so that a
/// request is shed before any work is done for it instead of deeper in the call
/// chain.
class admission_level_table
{
public:
    explicit admission_level_table(std::size_t capacity);

    void observe(
        service_name const& service,
        route_name const& route,
        admission_level level,
        absl::Time now);

    /// Returns the moving average of the admission levels that answers reported
    /// for the route. The average falls steadily while no answer reports a
    /// level, so that after an overload the most important of the shed requests
    /// are admitted first.
    admission_level current_level(
        service_name const& service,
        route_name const& route,
        absl::Time now) const;

private:
    using key = std::pair<service_name, route_name>;
    struct reported_level
    {
        double mean_level_{};
        absl::Time observed_at_{};
    };

    static double
    decayed_mean_level(reported_level const& observed, absl::Time now);

    std::size_t const capacity_;
    absl::flat_hash_map<key, reported_level> levels_by_route_;
};

} // namespace samphire
