#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Decides when a second copy of a slow repeatable call, a hedge, may be sent:
/// after the 95th percentile of the latency of the service, for at most 2% of
/// its calls.
class hedge_budget
{
public:
    /// Records that a repeatable call was sent for the first time.
    void on_call();
    void observe(absl::Duration latency);
    /// Returns the time from the first copy to the hedge; infinite while too
    /// few latencies were observed.
    absl::Duration hedge_delay() const;
    /// Takes one hedge from the budget. Returns false when the budget is used
    /// up.
    bool try_take_hedge();

private:
    double hedge_tokens_{};
    unsigned observed_latencies_{};
    absl::Duration latency_p95_{};
};

} // namespace samphire
