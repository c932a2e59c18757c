#include "admission/demand_meter.hpp"

#include <cmath>

namespace samphire
{

namespace
{

// Long enough that a few requests a second of long work are averaged, short
// enough to follow a step of demand.
constexpr absl::Duration averaging_time = absl::Seconds(2);

} // namespace

void demand_meter::offered(absl::Duration run_time, absl::Time now)
{
    double const current = slots(now) * absl::ToDoubleSeconds(averaging_time);
    slot_seconds_ = current + absl::ToDoubleSeconds(run_time);
    at_ = now;
}

double demand_meter::slots(absl::Time now) const
{
    if (at_ == absl::InfinitePast())
        return 0;
    double const age = absl::FDivDuration(now - at_, averaging_time);
    return slot_seconds_ * std::exp(-age) /
           absl::ToDoubleSeconds(averaging_time);
}

} // namespace samphire
