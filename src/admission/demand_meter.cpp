#include "admission/demand_meter.hpp"

#include <cmath>

namespace samphire
{

namespace
{

// Averaging period of the demand, long enough to average over a few requests of
// long work per second and short enough to follow a step in demand.
constexpr absl::Duration averaging_period = absl::Seconds(2);

} // namespace

void demand_meter::on_offered(absl::Duration run_time, absl::Time now)
{
    double const slot_seconds =
        required_slots(now) * absl::ToDoubleSeconds(averaging_period);
    decayed_slot_seconds_ = slot_seconds + absl::ToDoubleSeconds(run_time);
    updated_at_ = now;
}

double demand_meter::required_slots(absl::Time now) const
{
    if (updated_at_ == absl::InfinitePast())
        return 0;
    double const age = absl::FDivDuration(now - updated_at_, averaging_period);
    return decayed_slot_seconds_ * std::exp(-age) /
           absl::ToDoubleSeconds(averaging_period);
}

} // namespace samphire
