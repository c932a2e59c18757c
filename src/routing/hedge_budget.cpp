#include "routing/hedge_budget.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

// Below 2%, to leave room for retries of refused calls.
constexpr double hedged_share = 0.018;
// Copies that a quiet time saves up; covers one new straggler.
constexpr double most_tokens = 5;
// Estimates the 95th percentile: steps up and down balance when one latency
// in twenty is above it.
constexpr double step_up = 1.19;
constexpr double step_down = 1.0092;
constexpr unsigned least_observed = 20;

} // namespace

void hedge_budget::on_call()
{
    tokens_ = std::min(most_tokens, tokens_ + hedged_share);
}

void hedge_budget::observe(absl::Duration latency)
{
    ++observed_;
    if (latency > quantile_)
        quantile_ = quantile_ == absl::ZeroDuration()
                        ? latency
                        : std::min(latency, quantile_ * step_up);
    else
        quantile_ = std::max(latency, quantile_ / step_down);
}

absl::Duration hedge_budget::delay() const
{
    return observed_ < least_observed ? absl::InfiniteDuration() : quantile_;
}

bool hedge_budget::take()
{
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace samphire
