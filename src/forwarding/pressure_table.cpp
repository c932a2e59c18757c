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
    double const current = level(report.service_, now);
    double const reported = report.level_permille_ / permille;
    entry& updated = services_[report.service_];
    updated.level_ = current + weight * (reported - current);
    updated.at_ = now;
}

double pressure_table::level(service_name const& service, absl::Time now) const
{
    auto const found = services_.find(service);
    if (found == services_.end())
        return 0;
    return found->second.level_ *
           std::exp2(-absl::FDivDuration(now - found->second.at_, half_life));
}

} // namespace samphire
