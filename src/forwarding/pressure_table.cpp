#include "forwarding/pressure_table.hpp"

#include <cmath>

namespace samphire
{

namespace
{

constexpr double permille = 1000;

} // namespace

void pressure_table::observe(service_pressure const& report, absl::Time now)
{
    if (pressures_by_service_.size() >= max_services &&
        !pressures_by_service_.contains(report.service_))
        return;
    double const reported = report.pressure_permille_ / permille;
    auto const [found, added] = pressures_by_service_.try_emplace(
        report.service_, averaged_pressure{reported, now});
    if (added)
        return;
    averaged_pressure& updated = found->second;
    absl::Duration const averaging_time = reported > updated.pressure_
                                              ? rise_averaging_time
                                              : fall_averaging_time;
    double const old_weight = std::exp(
        -absl::FDivDuration(now - updated.updated_at_, averaging_time));
    updated.pressure_ = reported + old_weight * (updated.pressure_ - reported);
    updated.updated_at_ = now;
}

double
pressure_table::pressure_of(service_name const& service, absl::Time now) const
{
    auto const found = pressures_by_service_.find(service);
    if (found == pressures_by_service_.end())
        return 0;
    double const decayed =
        found->second.pressure_ *
        std::exp2(-absl::FDivDuration(
            now - found->second.updated_at_, pressure_half_life));
    return decayed < min_pressure ? 0 : decayed;
}

} // namespace samphire
