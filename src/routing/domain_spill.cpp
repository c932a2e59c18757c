#include "routing/domain_spill.hpp"

#include <algorithm>
#include <random>

namespace samphire
{

namespace
{

// Local calls this much slower than usual wait for slots.
constexpr double slow_factor = 1.5;
// Calls go on leaving while the local domain is this much slower than others.
constexpr double worse_factor = 1.2;
constexpr double rise = 0.02;
constexpr double fall = 0.004;
// Per call; a slow phase of some seconds does not become the usual latency.
constexpr double usual_weight = 0.002;

} // namespace

void domain_spill::observe(
    bool local, call_outcome outcome, absl::Duration latency)
{
    latency_tracker& tracker = local ? local_ : remote_;
    if (outcome == call_outcome::completed)
        tracker.observe(latency);
    else if (outcome == call_outcome::unknown)
        tracker.observe_lost(latency);
    bool const refused = outcome == call_outcome::not_run;
    if (!local)
    {
        if (refused)
            share_ = std::max(0.0, share_ - rise);
        // Another domain that does not answer is likely cut off.
        else if (outcome == call_outcome::unknown)
            share_ /= 2;
        return;
    }
    if (usual_ == absl::ZeroDuration())
        usual_ = local_.median();
    usual_ += (local_.median() - usual_) * usual_weight;
    bool const compared = share_ > 0 && !remote_.empty();
    bool const slow = compared
                          ? local_.median() > remote_.median() * worse_factor
                          : local_.median() > usual_ * slow_factor;
    if (refused || slow)
        share_ = std::min(1.0, share_ + rise);
    else
        share_ = std::max(0.0, share_ - fall);
}

bool domain_spill::leaves(random_source& random) const
{
    return share_ > 0 &&
           std::uniform_real_distribution<double>()(random) < share_;
}

} // namespace samphire
