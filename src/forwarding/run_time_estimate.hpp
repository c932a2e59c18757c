#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace samphire
{

/// Mean time of an execution at one upstream. Times are divided by the pace
/// that the upstream's VM had, so that a neighbour that slows it for half a
/// second does not stay in the mean.
class run_time_estimate
{
public:
    /// `pace` is 1 for the usual speed, 2 when work takes twice as long.
    void add(absl::Duration elapsed, double pace)
    {
        double const usual =
            absl::ToDoubleMicroseconds(elapsed) / std::max(pace, least_pace);
        if (mean_us_ == 0)
            mean_us_ = usual;
        mean_us_ += weight * (usual - mean_us_);
    }

    /// At the pace given; zero before the first execution.
    absl::Duration mean(double pace) const
    {
        return absl::Microseconds(mean_us_ * std::max(pace, least_pace));
    }

private:
    /// Share of the newest execution: about the last 40 count.
    static constexpr double weight = 0.05;
    static constexpr double least_pace = 0.1;

    double mean_us_{};
};

} // namespace samphire
