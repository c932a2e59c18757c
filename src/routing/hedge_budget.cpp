#include "routing/hedge_budget.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Hedges that each call adds to the budget. The limit of 2% of the calls also
// includes retries of refused calls.
constexpr double hedge_tokens_per_call = 0.018;
// Maximum number of saved hedges: enough for the calls that a new straggler
// delays before the straggler is recognised.
constexpr double max_hedge_tokens = 5;
// Factors that make the latency estimate converge to the 95th percentile: the
// steps up and down balance when one latency in twenty is above the estimate.
constexpr double p95_step_up = 1.19;
constexpr double p95_step_down = 1.0092;
constexpr unsigned min_observed_latencies = 20;

} // namespace

void hedge_budget::on_call()
{
    hedge_tokens_ =
        std::min(max_hedge_tokens, hedge_tokens_ + hedge_tokens_per_call);
}

void hedge_budget::observe(absl::Duration latency)
{
    ++observed_latencies_;
    if (latency > latency_p95_)
        latency_p95_ = latency_p95_ == absl::ZeroDuration()
                           ? latency
                           : std::min(latency, latency_p95_ * p95_step_up);
    else
        latency_p95_ = std::max(latency, latency_p95_ / p95_step_down);
}

absl::Duration hedge_budget::hedge_delay() const
{
    return observed_latencies_ < min_observed_latencies
               ? absl::InfiniteDuration()
               : latency_p95_;
}

bool hedge_budget::try_take_hedge()
{
    if (hedge_tokens_ < 1)
        return false;
    hedge_tokens_ -= 1;
    return true;
}

} // namespace samphire
