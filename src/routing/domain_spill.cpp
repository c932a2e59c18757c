#include "routing/domain_spill.hpp"

#include <algorithm>
#include <random>

namespace samphire
{

namespace
{

// When the local median latency exceeds its long-term average by this factor,
// local calls are waiting for slots.
constexpr double slow_local_factor = 1.5;
// While calls spill, the spill ratio grows as long as the local median latency
// exceeds that of other domains by this factor.
constexpr double slower_than_remote_factor = 1.2;
constexpr double spill_ratio_step_up = 0.02;
constexpr double spill_ratio_step_down = 0.004;
// Weight of one call in the long-term average. The weight is small enough that
// a slow phase of some seconds hardly changes the average.
constexpr double long_term_weight = 0.002;

} // namespace

void domain_spill::observe(
    bool local, call_outcome outcome, absl::Duration latency)
{
    latency_tracker& tracker = local ? local_latency_ : remote_latency_;
    if (outcome == call_outcome::completed)
        tracker.observe(latency);
    else if (outcome == call_outcome::unknown)
        tracker.observe_unanswered(latency);
    bool const refused = outcome == call_outcome::not_run;
    if (!local)
    {
        if (refused)
            spill_ratio_ = std::max(0.0, spill_ratio_ - spill_ratio_step_up);
        // Halves the spill ratio after an unanswered call, because the called
        // domain is probably cut off from the local domain.
        else if (outcome == call_outcome::unknown)
            spill_ratio_ /= 2;
        return;
    }
    if (long_term_median_latency_ == absl::ZeroDuration())
        long_term_median_latency_ = local_latency_.median();
    long_term_median_latency_ +=
        (local_latency_.median() - long_term_median_latency_) *
        long_term_weight;
    bool const compares_with_remote =
        spill_ratio_ > 0 && !remote_latency_.empty();
    bool const is_local_domain_slow =
        compares_with_remote
            ? local_latency_.median() >
                  remote_latency_.median() * slower_than_remote_factor
            : local_latency_.median() >
                  long_term_median_latency_ * slow_local_factor;
    if (refused || is_local_domain_slow)
        spill_ratio_ = std::min(1.0, spill_ratio_ + spill_ratio_step_up);
    else
        spill_ratio_ = std::max(0.0, spill_ratio_ - spill_ratio_step_down);
}

bool domain_spill::should_spill(random_source& random) const
{
    return spill_ratio_ > 0 &&
           std::uniform_real_distribution<double>()(random) < spill_ratio_;
}

} // namespace samphire
