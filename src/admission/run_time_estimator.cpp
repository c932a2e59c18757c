#include "admission/run_time_estimator.hpp"

#include <cmath>
#include <cstddef>

namespace samphire
{

namespace
{

constexpr double sample_weight = 0.1;
// Half-life of a run time estimate while there are no observations. The
// half-life is short enough that a guard recovers within 2 s after a slow phase
// ends.
constexpr absl::Duration decay_half_life = absl::Milliseconds(500);

} // namespace

void run_time_estimator::observe(
    work_class kind, absl::Duration run_time, bool completed, absl::Time now)
{
    absl::Duration const previous = estimate(kind, now);
    measured_run_time& entry =
        measured_run_times_[static_cast<std::size_t>(kind)];
    if (!completed && run_time < previous)
        return;
    bool const first = entry.observed_at_ == absl::InfinitePast();
    entry.mean_run_time_ =
        first ? run_time : previous + (run_time - previous) * sample_weight;
    entry.observed_at_ = now;
}

absl::Duration
run_time_estimator::estimate(work_class kind, absl::Time now) const
{
    measured_run_time const& entry =
        measured_run_times_[static_cast<std::size_t>(kind)];
    if (entry.observed_at_ == absl::InfinitePast())
        return absl::ZeroDuration();
    // The estimate does not decay within two run times of the last
    // observation: such a gap between observations is normal.
    absl::Duration const idle_time =
        now - entry.observed_at_ - 2 * entry.mean_run_time_;
    if (idle_time <= absl::ZeroDuration())
        return entry.mean_run_time_;
    return entry.mean_run_time_ *
           std::exp2(-absl::FDivDuration(idle_time, decay_half_life));
}

} // namespace samphire
