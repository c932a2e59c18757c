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
    if (levels_by_service_.size() >= max_services &&
        !levels_by_service_.contains(report.service_))
        return;
    double const reported = report.level_permille_ / permille;
    auto const [found, added] = levels_by_service_.try_emplace(
        report.service_, service_level{reported, now});
    if (added)
        return;
    service_level& updated = found->second;
    absl::Duration const averaging_time =
        reported > updated.level_ ? rise_averaging_time : fall_averaging_time;
    double const old_weight = std::exp(
        -absl::FDivDuration(now - updated.updated_at_, averaging_time));
    updated.level_ = reported + old_weight * (updated.level_ - reported);
    updated.updated_at_ = now;
}

double pressure_table::level(service_name const& service, absl::Time now) const
{
    auto const found = levels_by_service_.find(service);
    if (found == levels_by_service_.end())
        return 0;
    double const decayed =
        found->second.level_ * std::exp2(-absl::FDivDuration(
                                   now - found->second.updated_at_, half_life));
    return decayed < min_level ? 0 : decayed;
}

} // namespace samphire
