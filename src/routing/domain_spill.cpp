#include "routing/domain_spill.hpp"

#include <algorithm>
#include <random>

namespace samphire
{

namespace
{

// A local call over this multiple of the usual latency waited for a slot.
constexpr double slow_factor = 2;
constexpr double rise = 0.02;
constexpr double fall = 0.004;

} // namespace

void domain_spill::observe(
    bool local, call_outcome outcome, absl::Duration latency)
{
    bool const refused = outcome == call_outcome::not_run;
    latency_tracker& tracker = local ? local_ : remote_;
    if (outcome == call_outcome::completed)
        tracker.observe(latency);
    else if (outcome == call_outcome::unknown)
        tracker.observe_lower_bound(latency);
    bool const slow = !refused && !local_.empty() &&
                      latency > local_.least() * slow_factor &&
                      local_.median() > local_.least() * slow_factor;
    bool const remote_better =
        remote_.empty() || remote_.median() < local_.median();
    if (local && (refused || (slow && remote_better)))
        share_ = std::min(1.0, share_ + rise);
    else if (local || refused || !remote_better)
        share_ = std::max(0.0, share_ - fall);
}

bool domain_spill::leaves(random_source& random) const
{
    return share_ > 0 &&
           std::uniform_real_distribution<double>()(random) < share_;
}

} // namespace samphire
