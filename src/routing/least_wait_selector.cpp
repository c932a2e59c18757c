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
    state.peers_.remove_non_candidates(candidates);
    std::optional<std::size_t> best;
    absl::Duration best_wait;
    // Starts at a random candidate, so that daemons without any observations do
    // not all choose the same peer.
    std::size_t const start = random() % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        std::size_t const index = (start + i) % candidates.size();
        peer_candidate const& candidate = candidates[index];
        if (std::find(excluded.begin(), excluded.end(), candidate.endpoint_) !=
            excluded.end())
            continue;
        peer_load const& load = state.peers_.find_or_add(candidate, now);
        absl::Duration const wait = expected_wait(state, candidate, load, now);
        if (best && wait >= best_wait)
            continue;
        best = index;
        best_wait = wait;
    }
    return best;
}

/// Returns the sum of three times. The transfer time is the minimum latency of
/// the peer less the estimated run time of a call. The queue time is the
/// expected latency of the peer less the minimum latency of the peer. The own
/// queue time is the time that the calls in flight from this daemon to the peer
/// take in the slots of the peer.
absl::Duration least_wait_selector::expected_wait(
    service_state const& state,
    peer_candidate const& candidate,
    peer_load const& load,
    absl::Time now)
{
    if (load.latency().empty())
        return absl::ZeroDuration();
    absl::Duration const transfer_time =
        load.latency().min_latency() - state.min_run_time_;
    absl::Duration const queue_time =
        load.expected_latency(now) - load.latency().min_latency();
    absl::Duration const own_queue_time =
        state.min_run_time_ * static_cast<double>(load.in_flight()) /
        std::max(candidate.slots_, 1U);
    return transfer_time + std::max(queue_time, absl::ZeroDuration()) +
           own_queue_time;
}

void least_wait_selector::on_call_sent(
    service_name const& service, endpoint peer, absl::Time now)
{
    if (peer_load* const load = services_[service].peers_.find(peer))
        load->on_call_sent(now);
}

void least_wait_selector::on_call_finished(
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
    load->on_call_finished(outcome, latency, now);
    if (outcome != call_outcome::completed)
        return;
    state.hedge_budget_.observe(latency);
    state.min_run_time_ = std::min(state.min_run_time_, latency);
}

absl::Duration
least_wait_selector::hedge_delay(service_name const& service, absl::Time)
{
    hedge_budget& hedges = services_[service].hedge_budget_;
    hedges.on_call();
    return hedges.hedge_delay();
}

bool least_wait_selector::try_take_hedge(
    service_name const& service, absl::Time)
{
    return services_[service].hedge_budget_.try_take_hedge();
}

} // namespace samphire
