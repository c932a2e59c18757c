#include "routing/least_wait_selector.hpp"

#include <algorithm>

namespace samphire
{

static_assert(peer_selector<least_wait_selector>);

std::optional<std::size_t> least_wait_selector::select(
    service_name const& service,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source& random,
    absl::Time now)
{
    if (candidates.empty())
        return std::nullopt;
    service_state& state = services_[service];
    state.peers_.keep_only(candidates);
    std::optional<std::size_t> best;
    absl::Duration best_wait;
    // Daemons that know nothing yet must not all choose the same peer.
    std::size_t const start = random() % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        std::size_t const index = (start + i) % candidates.size();
        peer_candidate const& candidate = candidates[index];
        if (std::find(excluded.begin(), excluded.end(), candidate.endpoint_) !=
            excluded.end())
            continue;
        peer_load const& load = state.peers_.find(candidate, now);
        absl::Duration const wait = expected_wait(state, candidate, load, now);
        if (best && wait >= best_wait)
            continue;
        best = index;
        best_wait = wait;
    }
    return best;
}

/// Queue time: what the calls in flight from here need, and how far the peer
/// is above its own best. Transfer time: its best above the service time.
absl::Duration least_wait_selector::expected_wait(
    service_state const& state,
    peer_candidate const& candidate,
    peer_load const& load,
    absl::Time now)
{
    if (load.latency().empty())
        return absl::ZeroDuration();
    absl::Duration const transfer =
        load.latency().least() - state.service_time_;
    absl::Duration const queue =
        load.expected_latency(now) - load.latency().least();
    absl::Duration const own = state.service_time_ *
                               static_cast<double>(load.in_flight()) /
                               std::max(candidate.slots_, 1U);
    return transfer + std::max(queue, absl::ZeroDuration()) + own;
}

void least_wait_selector::sent(
    service_name const& service, endpoint peer, absl::Time now)
{
    if (peer_load* const load = services_[service].peers_.find(peer))
        load->sent(now);
}

void least_wait_selector::finished(
    service_name const& service,
    endpoint peer,
    call_outcome outcome,
    absl::Duration latency,
    absl::Time now)
{
    service_state& state = services_[service];
    peer_load* const load = state.peers_.find(peer);
    if (!load)
        return;
    load->finished(outcome, latency, now);
    if (outcome != call_outcome::completed)
        return;
    state.hedges_.observe(latency);
    state.service_time_ = std::min(state.service_time_, latency);
}

absl::Duration
least_wait_selector::hedge_delay(service_name const& service, absl::Time)
{
    hedge_budget& hedges = services_[service].hedges_;
    hedges.on_call();
    return hedges.delay();
}

bool least_wait_selector::take_hedge(service_name const& service, absl::Time)
{
    return services_[service].hedges_.take();
}

} // namespace samphire
