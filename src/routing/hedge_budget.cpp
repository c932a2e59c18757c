#include "routing/hedge_budget.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Hedges that each call adds to the budget. The limit of 2% also has to cover
// retries of refused calls.
constexpr double hedge_ratio = 0.018;
// Hedges that accumulate while none is needed; enough for the calls that a new
// straggler delays before it is recognised.
constexpr double max_tokens = 5;
// Factors that make the estimate converge to the 95th percentile: the steps up
// and down balance when one latency in twenty is above the estimate.
constexpr double quantile_step_up = 1.19;
constexpr double quantile_step_down = 1.0092;
constexpr unsigned min_observed_calls = 20;

} // namespace

void hedge_budget::on_call()
{
    tokens_ = std::min(max_tokens, tokens_ + hedge_ratio);
}

void hedge_budget::observe(absl::Duration latency)
{
    ++observed_calls_;
    if (latency > latency_quantile_)
        latency_quantile_ =
            latency_quantile_ == absl::ZeroDuration()
                ? latency
                : std::min(latency, latency_quantile_ * quantile_step_up);
    else
        latency_quantile_ =
            std::max(latency, latency_quantile_ / quantile_step_down);
}

absl::Duration hedge_budget::delay() const
{
    return observed_calls_ < min_observed_calls ? absl::InfiniteDuration()
                                                : latency_quantile_;
}

bool hedge_budget::take_hedge()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace samphire
