#include "routing/peer_load.hpp"

#include <algorithm>

namespace samphire
{

namespace
{

constexpr double initial_warm_up_factor = 0.1;
constexpr absl::Duration warm_up_period = absl::Seconds(10);
constexpr double refusal_sample_weight = 0.1;
// Every caller of a service probes its peers. With one probe per second from
// each caller, probes would exceed 1% of the calls and determine the p99
// latency.
constexpr absl::Duration probe_interval = absl::Seconds(5);
// Each unanswered call doubles the probe interval, up to 80 s, because every
// probe of a domain that is cut off costs a caller a timeout.
constexpr unsigned max_probe_doublings = 4;
constexpr double unanswered_latency_factor = 3;
constexpr unsigned unresponsive_after_calls = 2;

} // namespace

peer_load::peer_load(
    incarnation peer_incarnation, bool local, absl::Time cold_since)
    : incarnation_(peer_incarnation), is_local_(local), cold_since_(cold_since)
{
}

void peer_load::on_call_sent(absl::Time now)
{
    last_sent_at_ = now;
    send_times_of_calls_in_flight_.insert(now);
}

void peer_load::on_call_finished(
    call_outcome outcome, absl::Duration latency, absl::Time now)
{
    auto const call = send_times_of_calls_in_flight_.find(now - latency);
    if (call != send_times_of_calls_in_flight_.end())
        send_times_of_calls_in_flight_.erase(call);
    double const refusal_sample = outcome == call_outcome::not_run ? 1 : 0;
    refusal_ratio_ += (refusal_sample - refusal_ratio_) * refusal_sample_weight;
    // The latency of a refusal does not show how fast the peer completes work.
    if (outcome == call_outcome::completed)
    {
        consecutive_unanswered_calls_ = 0;
        latency_.observe(latency);
    }
    else if (outcome == call_outcome::unknown)
    {
        // A call is also given up, with outcome unknown, when its hedge is
        // answered first. Only a call that waited much longer than the median
        // latency counts as unanswered.
        if (latency > latency_.median() * unanswered_latency_factor)
            consecutive_unanswered_calls_ = std::min(
                consecutive_unanswered_calls_ + 1, max_probe_doublings);
        latency_.observe_unanswered(latency);
    }
}

absl::Duration peer_load::expected_latency(absl::Time now) const
{
    if (send_times_of_calls_in_flight_.empty())
        return latency_.median();
    return std::max(
        latency_.median(), now - *send_times_of_calls_in_flight_.begin());
}

bool peer_load::is_probe_due(absl::Time now) const
{
    return send_times_of_calls_in_flight_.empty() &&
           now - last_sent_at_ >=
               probe_interval * (1U << consecutive_unanswered_calls_);
}

bool peer_load::is_unresponsive() const
{
    return consecutive_unanswered_calls_ >= unresponsive_after_calls;
}

double peer_load::warm_up_factor(absl::Time now) const
{
    double const progress =
        absl::FDivDuration(now - cold_since_, warm_up_period);
    return std::clamp(
        initial_warm_up_factor + (1 - initial_warm_up_factor) * progress,
        initial_warm_up_factor,
        1.0);
}

} // namespace samphire
