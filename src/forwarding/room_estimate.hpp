#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// Executions that an upstream can take up: its slots over the mean run time,
/// less what the queue needs to be worked off, corrected by what is seen of
/// free slots and of the queue.
class room_estimate
{
public:
    /// `slots` and `running` of the upstream; `queued`: executions that wait
    /// for a slot; `run_time`: mean of an execution, zero when unknown;
    /// `asked`: executions a second that it is asked for.
    void update(
        std::uint32_t slots,
        std::uint32_t running,
        std::uint32_t queued,
        absl::Duration run_time,
        double asked,
        absl::Time now);

    /// Executions in 1,000 s; 0 while the run time is unknown.
    std::uint32_t rate() const
    {
        return rate_;
    }

private:
    std::uint32_t rate_{};
    /// Factor that makes up for a run time that changes with the load.
    double correction_{1};
    absl::Time updated_{absl::InfinitePast()};
};

} // namespace samphire
