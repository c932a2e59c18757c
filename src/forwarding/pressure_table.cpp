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
    if (services_.size() >= capacity && !services_.contains(report.service_))
        return;
    double const reported = report.level_permille_ / permille;
    auto const [found, added] =
        services_.try_emplace(report.service_, entry{reported, now});
    if (added)
        return;
    entry& updated = found->second;
    absl::Duration const time =
        reported > updated.level_ ? rise_time : fall_time;
    double const kept = std::exp(-absl::FDivDuration(now - updated.at_, time));
    updated.level_ = reported + kept * (updated.level_ - reported);
    updated.at_ = now;
}

double pressure_table::level(service_name const& service, absl::Time now) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return 0;
    double const faded =
        found->second.level_ *
        std::exp2(-absl::FDivDuration(now - found->second.at_, half_life));
    return faded < least_level ? 0 : faded;
}

} // namespace samphire
