#include "admission/service_time_estimator.hpp"

#include <cmath>
#include <cstddef>

namespace samphire
{

namespace
{

constexpr double sample_weight = 0.1;
// Recovery has to be complete 2 s after a slow phase ends.
constexpr absl::Duration fade_half_life = absl::Milliseconds(500);

} // namespace

void service_time_estimator::observe(
    work_class kind, absl::Duration time, bool complete, absl::Time now)
{
    absl::Duration const known = estimate(kind, now);
    measured_time& entry = measured_[static_cast<std::size_t>(kind)];
    if (!complete && time < known)
        return;
    bool const first = entry.at_ == absl::InfinitePast();
    entry.mean_ = first ? time : known + (time - known) * sample_weight;
    entry.at_ = now;
}

absl::Duration
service_time_estimator::estimate(work_class kind, absl::Time now) const
{
    measured_time const& entry = measured_[static_cast<std::size_t>(kind)];
    if (entry.at_ == absl::InfinitePast())
        return absl::ZeroDuration();
    // Within a few service times silence is normal.
    absl::Duration const silent = now - entry.at_ - 2 * entry.mean_;
    if (silent <= absl::ZeroDuration())
        return entry.mean_;
    return entry.mean_ * std::exp2(-absl::FDivDuration(silent, fade_half_life));
}

} // namespace samphire
