#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace samphire
{

/// Estimates the mean run time of an execution at one upstream. Run times are
/// divided by the slowdown factor of the upstream's VM, so that half a
/// second of slowdown by another VM on its host does not distort the mean.
class run_time_estimate
{
public:
    /// Adds the run time `elapsed` of one execution. `slowdown_factor`: 1 at
    /// normal speed, 2 when work takes twice as long.
    void add(absl::Duration elapsed, double slowdown_factor)
    {
        double const nominal_us =
            absl::ToDoubleMicroseconds(elapsed) /
            std::max(slowdown_factor, min_slowdown_factor);
        if (mean_run_time_us_ == 0)
            mean_run_time_us_ = nominal_us;
        mean_run_time_us_ += newest_weight * (nominal_us - mean_run_time_us_);
    }

    /// Returns the mean run time at the given slowdown factor; zero before the
    /// first execution.
    absl::Duration mean(double slowdown_factor) const
    {
        return absl::Microseconds(
            mean_run_time_us_ * std::max(slowdown_factor, min_slowdown_factor));
    }

private:
    /// Weight of the newest execution in the mean. Executions older than about
    /// the last 40 hardly affect the mean.
    static constexpr double newest_weight = 0.05;
    static constexpr double min_slowdown_factor = 0.1;

    double mean_run_time_us_{};
};

} // namespace samphire
