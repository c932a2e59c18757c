#pragma once

#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Pressure of each service, averaged over the pressures that the guards report
/// with each result. The pressure of a service decays while it is not reported,
/// so that a service to which no more requests are sent is tried again.
class pressure_table
{
public:
    void observe(service_pressure const& report, absl::Time now);

    /// Returns the pressure of the service in urgency classes; 0 when unknown.
    double pressure_of(service_name const& service, absl::Time now) const;

private:
    /// Averaging times of the reported pressures. The time for a falling
    /// pressure is longer, because the demand of an urgency class that was
    /// refused completely is known only once some of its requests are admitted
    /// again.
    static constexpr absl::Duration rise_averaging_time =
        absl::Milliseconds(60);
    static constexpr absl::Duration fall_averaging_time =
        absl::Milliseconds(250);
    /// Half-life of the pressure of a service that is not reported.
    static constexpr absl::Duration pressure_half_life =
        absl::Milliseconds(500);
    /// A pressure below this value, in urgency classes, counts as 0, so that no
    /// request is refused.
    static constexpr double min_pressure = 0.01;
    static constexpr std::size_t max_services = 1024;

    struct averaged_pressure
    {
        double pressure_{};
        absl::Time updated_at_{};
    };

    absl::flat_hash_map<service_name, averaged_pressure> pressures_by_service_;
};

} // namespace samphire
