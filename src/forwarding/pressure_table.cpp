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
    if (services_.size() >= max_services &&
        !services_.contains(report.service_))
        return;
    double const reported = report.level_permille_ / permille;
    auto const [found, added] =
        services_.try_emplace(report.service_, service_level{reported, now});
    if (added)
        return;
    service_level& updated = found->second;
    absl::Duration const averaging_time =
        reported > updated.level_ ? rise_averaging_time : fall_averaging_time;
    double const old_weight =
        std::exp(-absl::FDivDuration(now - updated.at_, averaging_time));
    updated.level_ = reported + old_weight * (updated.level_ - reported);
    updated.at_ = now;
}

double pressure_table::level(service_name const& service, absl::Time now) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return 0;
    double const decayed =
        found->second.level_ *
        std::exp2(-absl::FDivDuration(now - found->second.at_, half_life));
    return decayed < min_level ? 0 : decayed;
}

} // namespace samphire
