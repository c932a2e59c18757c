#include "admission/demand_meter.hpp"

#include <cmath>

namespace samphire
{

namespace
{

// Long enough to average over a few requests of long work per second, short
// enough to follow a step in demand.
constexpr absl::Duration averaging_time = absl::Seconds(2);

} // namespace

void demand_meter::offered(absl::Duration run_time, absl::Time now)
{
    double const slot_seconds =
        required_slots(now) * absl::ToDoubleSeconds(averaging_time);
    slot_seconds_ = slot_seconds + absl::ToDoubleSeconds(run_time);
    updated_at_ = now;
}

double demand_meter::required_slots(absl::Time now) const
{
    if (updated_at_ == absl::InfinitePast())
        return 0;
    double const age = absl::FDivDuration(now - updated_at_, averaging_time);
    return slot_seconds_ * std::exp(-age) /
           absl::ToDoubleSeconds(averaging_time);
}

} // namespace samphire
