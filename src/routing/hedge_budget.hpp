#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Decides when a second copy of a slow repeatable call, a hedge, may be sent:
/// after a high quantile of the latency of the service, for at most 2% of its
/// calls.
class hedge_budget
{
public:
    /// Records that a repeatable call was sent for the first time.
    void on_call();
    void observe(absl::Duration latency);
    /// Time from the first copy to the hedge; infinite while too few latencies
    /// were observed.
    absl::Duration delay() const;
    /// Takes one hedge from the budget; false when the budget is used up.
    bool take_hedge();

private:
    double tokens_{};
    unsigned observed_calls_{};
    absl::Duration latency_quantile_{};
};

} // namespace samphire
