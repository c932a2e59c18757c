#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Estimates the running median of the latencies of calls. With a mean, a few
/// calls of long work would make a healthy peer look slow.
class latency_tracker
{
public:
    void observe(absl::Duration latency);
    /// Records a call that was given up after `latency` without an answer.
    void observe_unanswered(absl::Duration latency);

    bool empty() const
    {
        return median_latency_ == absl::ZeroDuration();
    }

    /// Returns the median latency; zero before the first observation.
    absl::Duration median() const
    {
        return median_latency_;
    }

    /// Returns the minimum latency; infinite before the first observation.
    absl::Duration min_latency() const
    {
        return min_latency_;
    }

private:
    absl::Duration median_latency_{};
    absl::Duration min_latency_{absl::InfiniteDuration()};
};

} // namespace samphire
