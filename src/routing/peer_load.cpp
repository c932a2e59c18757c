#include "routing/peer_load.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr double cold_weight = 0.1;
constexpr absl::Duration warm_up_time = absl::Seconds(10);
constexpr double outcome_weight = 0.1;
// Callers of a service are many, and each of them probes: at one probe a
// second from each, probes alone were over 1% of the calls and set the p99.
constexpr absl::Duration probe_interval = absl::Seconds(5);
// Each lost call doubles the interval, to 80 s: a domain that is cut off costs
// its callers a timeout for each probe.
constexpr unsigned most_doublings = 4;
constexpr double lost_factor = 3;
constexpr unsigned unresponsive_after = 2;

} // namespace

peer_load::peer_load(incarnation life, bool local, absl::Time cold_at)
    : life_(life), local_(local), cold_at_(cold_at)
{
}

void peer_load::sent(absl::Time now)
{
    last_sent_ = now;
    sent_at_.insert(now);
}

void peer_load::finished(
    call_outcome outcome, absl::Duration latency, absl::Time now)
{
    auto const call = sent_at_.find(now - latency);
    if (call != sent_at_.end())
        sent_at_.erase(call);
    double const refusal = outcome == call_outcome::not_run ? 1 : 0;
    refused_ += (refusal - refused_) * outcome_weight;
    // A refusal is fast and says nothing of how fast work is done.
    if (outcome == call_outcome::completed)
    {
        lost_in_row_ = 0;
        latency_.observe(latency);
    }
    else if (outcome == call_outcome::unknown)
    {
        // A copy that lost to a hedge was given up early and is no sign.
        if (latency > latency_.median() * lost_factor)
            lost_in_row_ = std::min(lost_in_row_ + 1, most_doublings);
        latency_.observe_lost(latency);
    }
}

absl::Duration peer_load::expected_latency(absl::Time now) const
{
    if (sent_at_.empty())
        return latency_.median();
    return std::max(latency_.median(), now - *sent_at_.begin());
}

bool peer_load::probe_due(absl::Time now) const
{
    return sent_at_.empty() &&
           now - last_sent_ >= probe_interval * (1U << lost_in_row_);
}

bool peer_load::unresponsive() const
{
    return lost_in_row_ >= unresponsive_after;
}

double peer_load::warmth(absl::Time now) const
{
    double const part = absl::FDivDuration(now - cold_at_, warm_up_time);
    return std::clamp(cold_weight + (1 - cold_weight) * part, cold_weight, 1.0);
}

} // namespace samphire
