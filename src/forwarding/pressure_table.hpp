#pragma once

#include "forwarding/service_pressure.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Pressure of services as their guards report it with each answer. A report
/// loses weight with age, so that a service to which nothing is sent any more
/// is tried again.
class pressure_table
{
public:
    void observe(service_pressure const& report, absl::Time now);

    /// In urgency classes.
    double level(service_name const& service, absl::Time now) const;

private:
    /// Reports are averaged over this time. A level that falls takes longer:
    /// of a class that was refused whole nothing is known but what begins to
    /// arrive again.
    static constexpr absl::Duration rise_time = absl::Milliseconds(60);
    static constexpr absl::Duration fall_time = absl::Milliseconds(250);
    /// Without reports the level fades.
    static constexpr absl::Duration half_life = absl::Milliseconds(500);
    /// Below this nothing is refused.
    static constexpr double least_level = 0.01;
    static constexpr std::size_t capacity = 1024;

    struct entry
    {
        double level_{};
        absl::Time at_{};
    };

    absl::flat_hash_map<service_name, entry> services_;
};

} // namespace samphire
