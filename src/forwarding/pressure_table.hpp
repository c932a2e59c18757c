#pragma once

#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Pressure of services, smoothed from the reports that come with each answer.
/// The pressure decays without reports, so that a service to which nothing is
/// sent any more is tried again.
class pressure_table
{
public:
    void observe(service_pressure const& report, absl::Time now);

    /// Pressure in urgency classes; 0 when unknown.
    double level(service_name const& service, absl::Time now) const;

private:
    /// Averaging time of the reports, longer for a falling level: the demand of
    /// a class that was refused completely is known only once some of its
    /// requests are admitted again.
    static constexpr absl::Duration rise_averaging_time =
        absl::Milliseconds(60);
    static constexpr absl::Duration fall_averaging_time =
        absl::Milliseconds(250);
    /// Half-life of the level without reports.
    static constexpr absl::Duration half_life = absl::Milliseconds(500);
    /// A lower level counts as 0, so that nothing is refused.
    static constexpr double min_level = 0.01;
    static constexpr std::size_t max_services = 1024;

    struct service_level
    {
        double level_{};
        absl::Time updated_at_{};
    };

    absl::flat_hash_map<service_name, service_level> levels_by_service_;
};

} // namespace samphire
