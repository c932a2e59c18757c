#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// When a second copy of a slow repeatable call may be sent: after a high
/// quantile of the latency of the service, for at most 2% of its calls.
class hedge_budget
{
public:
    /// A repeatable call was sent for the first time.
    void on_call();
    void observe(absl::Duration latency);
    /// Wait before the second copy; infinite while too little is known.
    absl::Duration delay() const;
    /// Spends one copy; false when the budget is used up.
    bool take();

private:
    double tokens_{};
    unsigned observed_{};
    absl::Duration quantile_{};
};

} // namespace samphire
