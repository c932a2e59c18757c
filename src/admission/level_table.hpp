#pragma once

#include "admission/admission_level.hpp"
#include "base/route_name.hpp"
#include "base/service_name.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <utility>

namespace samphire
{

/// Admission levels that guards returned, for each route, so that an entry can
/// shed work that would be refused deeper in the chain.
class level_table
{
public:
    level_table(std::size_t capacity, absl::Duration validity);

    void observe(
        service_name const& service,
        route_name const& route,
        admission_level level,
        absl::Time now);

    /// The level in force; zero when none was observed within the validity,
    /// so that an entry tries again after the overload.
    admission_level current(
        service_name const& service,
        route_name const& route,
        absl::Time now) const;

private:
    using key = std::pair<service_name, route_name>;
    struct observed_level
    {
        admission_level level_{};
        absl::Time at_{};
    };

    std::size_t const capacity_;
    absl::Duration const validity_;
    absl::flat_hash_map<key, observed_level> levels_;
};

} // namespace samphire
