#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Measures how many slots one kind of work needs: the moving average of the
/// rate of offered requests times the time that each holds a slot.
class demand_meter
{
public:
    /// Records that a request was offered that is expected to hold a slot for
    /// `run_time`.
    void on_offered(absl::Duration run_time, absl::Time now);

    /// Returns the average number of slots that would be in use if every
    /// offered request ran.
    double required_slots(absl::Time now) const;

private:
    /// Sum of the expected run times of offered requests, which decays
    /// exponentially.
    double decayed_slot_seconds_{};
    absl::Time updated_at_{absl::InfinitePast()};
};

} // namespace samphire
