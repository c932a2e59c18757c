#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Estimates the rate of executions that an upstream can accept: its slots
/// divided by the mean run time, less the rate needed to drain the queue. The
/// estimate is multiplied by a correction factor that depends on the observed
/// free slots and queue length.
class capacity_estimate
{
public:
    /// Updates the estimate. `slots`: slots of the upstream;
    /// `running_executions`: executions that hold a slot; `queued_executions`:
    /// executions that wait for a slot; `run_time`: mean run time, zero when
    /// unknown; `demand_per_second`: executions requested per second.
    void update(
        std::uint32_t slots,
        std::uint32_t running_executions,
        std::uint32_t queued_executions,
        absl::Duration run_time,
        double demand_per_second,
        absl::Time now);

    /// Returns the executions that the upstream can accept per 1,000 s; 0 while
    /// the mean run time is unknown.
    std::uint32_t capacity_per_ks() const
    {
        return capacity_per_ks_;
    }

private:
    std::uint32_t capacity_per_ks_{};
    /// Factor that compensates for a mean run time that changes with the load.
    double correction_factor_{1};
    absl::Time updated_at_{absl::InfinitePast()};
};

} // namespace samphire
