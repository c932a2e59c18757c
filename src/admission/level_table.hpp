#pragma once

#include "admission/admission_level.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <utility>

namespace samphire
{

/// Admission levels that were met behind each route, so that work is shed
/// before it begins instead of deeper in the chain.
class level_table
{
public:
    explicit level_table(std::size_t capacity);

    void observe(
        service_name const& service,
        route_name const& route,
        admission_level level,
        absl::Time now);

    /// The level in force: the mean of recent levels, falling steadily when
    /// none arrives, so that the most important of the shed requests are tried
    /// first after an overload.
    admission_level current(
        service_name const& service,
        route_name const& route,
        absl::Time now) const;

private:
    using key = std::pair<service_name, route_name>;
    struct observed_level
    {
        double mean_{};
        absl::Time at_{};
    };

    static double faded(observed_level const& observed, absl::Time now);

    std::size_t const capacity_;
    absl::flat_hash_map<key, observed_level> levels_;
};

} // namespace samphire
