#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Slots that one kind of work needs: a moving average of offered requests
/// per second times the time that each holds a slot.
class demand_meter
{
public:
    /// A request that is expected to hold a slot for `run_time` was offered.
    void offered(absl::Duration run_time, absl::Time now);

    /// Slots in use on average if everything offered ran.
    double slots(absl::Time now) const;

private:
    double slot_seconds_{};
    absl::Time at_{absl::InfinitePast()};
};

} // namespace samphire
