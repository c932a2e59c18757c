#pragma once

#include "policy/work_class.hpp"

#include <absl/time/time.h>

#include <array>

namespace samphire
{

/// Estimates for each work class how long a request holds its slot.
class run_time_estimator
{
public:
    /// Records that a request ran for `run_time`. `completed` is false when the
    /// request ended at its deadline, so that its full run time is unknown.
    void observe(
        work_class kind,
        absl::Duration run_time,
        bool completed,
        absl::Time now);

    /// Returns the expected run time; zero before the first observation. The
    /// estimate decays while there are no observations, so that a guard that
    /// sheds every request admits some again.
    absl::Duration estimate(work_class kind, absl::Time now) const;

private:
    struct measured_run_time
    {
        absl::Duration mean_run_time_{};
        absl::Time observed_at_{absl::InfinitePast()};
    };

    std::array<measured_run_time, 2> measured_run_times_;
};

} // namespace samphire
