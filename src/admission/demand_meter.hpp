#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Measures how many slots one kind of work needs: the moving average of the
/// rate of offered requests times the time that each holds a slot.
class demand_meter
{
public:
    /// A request that is expected to hold a slot for `run_time` was offered.
    void offered(absl::Duration run_time, absl::Time now);

    /// Average number of slots in use if every offered request ran.
    double required_slots(absl::Time now) const;

private:
    double slot_seconds_{};
    absl::Time updated_at_{absl::InfinitePast()};
};

} // namespace samphire
