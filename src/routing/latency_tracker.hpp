#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Running median of latencies. A mean would follow the few calls of long work
/// and make a healthy peer look slow.
class latency_tracker
{
public:
    void observe(absl::Duration latency);
    /// A call was given up after this time without an answer.
    void observe_lost(absl::Duration latency);

    bool empty() const
    {
        return median_ == absl::ZeroDuration();
    }

    /// Zero before the first latency.
    absl::Duration median() const
    {
        return median_;
    }

    absl::Duration least() const
    {
        return least_;
    }

private:
    absl::Duration median_{};
    absl::Duration least_{absl::InfiniteDuration()};
};

} // namespace samphire
