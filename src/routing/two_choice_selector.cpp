#include "routing/two_choice_selector.hpp"

#include <algorithm>
#include <random>

namespace samphire
{

static_assert(peer_selector<two_choice_selector>);

namespace
{

constexpr double straggler_factor = 3;
constexpr double probe_ratio = 0.01;
// The cost of a peer is multiplied by 1 + 10 * refusal ratio, so that a peer
// that refuses every call is hardly ever chosen over one that accepts calls.
constexpr double refusal_cost_factor = 10;

double uniform(random_source& random)
{
    return std::uniform_real_distribution<double>()(random);
}

} // namespace

std::optional<std::size_t> two_choice_selector::select(
    service_name const& service,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source& random,
    absl::Time now)
{
    // Callers can invent service names, so state is kept only for services that
    // have peers.
    if (candidates.empty())
        return std::nullopt;
    service_state& state = services_[service];
    std::vector<weighted_candidate> const weighted_candidates =
        eligible_candidates(state, candidates, excluded, random, now);
    if (weighted_candidates.empty())
        return std::nullopt;
    weighted_candidate const* const first =
        pick_random_candidate(weighted_candidates, nullptr, random);
    weighted_candidate const* const second =
        pick_random_candidate(weighted_candidates, first, random);
    bool const better = second && second->cost_ < first->cost_;
    return better ? second->candidate_index_ : first->candidate_index_;
}

/// Returns a candidate other than `already_drawn`, picked at random by weight;
/// null when there is no other candidate. If the same peer could be drawn
/// twice, a quarter of the calls would go to the worse of two peers.
two_choice_selector::weighted_candidate const*
two_choice_selector::pick_random_candidate(
    std::vector<weighted_candidate> const& weighted_candidates,
    weighted_candidate const* already_drawn,
    random_source& random)
{
    double total_weight = 0;
    for (weighted_candidate const& each : weighted_candidates)
        total_weight += &each == already_drawn ? 0 : each.weight_;
    double remaining_weight = uniform(random) * total_weight;
    weighted_candidate const* last = nullptr;
    for (weighted_candidate const& each : weighted_candidates)
    {
        if (&each == already_drawn)
            continue;
        last = &each;
        remaining_weight -= each.weight_;
        if (remaining_weight < 0)
            break;
    }
    return last;
}

/// Returns the candidates to choose between, without the excluded ones: with a
/// small probability the peers of the preferred domain that are due for a
/// probe, otherwise the first group that is not empty of the peers in the
/// preferred domain, the peers in other domains, the peers due for a probe, and
/// the stragglers.
std::vector<two_choice_selector::weighted_candidate>
two_choice_selector::eligible_candidates(
    service_state& state,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source& random,
    absl::Time now)
{
    state.peers_.remove_non_candidates(candidates);
    absl::Duration const median_latency = state.peers_.median_latency();
    absl::Duration const straggler_latency = median_latency * straggler_factor;
    bool const spills_to_other_domain =
        state.domain_spill_.should_spill(random);
    bool const has_local_candidate = std::any_of(
        candidates.begin(),
        candidates.end(),
        [](peer_candidate const& candidate)
        { return candidate.is_in_local_domain_; });
    std::vector<weighted_candidate> preferred;
    std::vector<weighted_candidate> others;
    std::vector<weighted_candidate> stragglers;
    std::vector<weighted_candidate> probes;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        peer_candidate const& candidate = candidates[index];
        if (std::find(excluded.begin(), excluded.end(), candidate.endpoint_) !=
            excluded.end())
            continue;
        peer_load const& load = state.peers_.find_or_add(candidate, now);
        double const weight =
            load.warm_up_factor(now) * std::max(candidate.slots_, 1U);
        // A peer without observed latencies is rated with the median latency.
        // With a rating of zero, the peer would get every call until its first
        // answer.
        absl::Duration const expected = load.latency().empty()
                                            ? median_latency
                                            : load.expected_latency(now);
        absl::Duration const latency =
            std::max(expected, absl::Microseconds(1));
        weighted_candidate const found{
            index,
            weight,
            static_cast<double>(load.in_flight() + 1) / weight *
                absl::ToDoubleSeconds(latency) *
                (1 + refusal_cost_factor * load.refusal_ratio())};
        bool const is_straggler = load.is_unresponsive() ||
                                  (straggler_latency > absl::ZeroDuration() &&
                                   load.latency().median() > straggler_latency);
        // Peers that are not stragglers are probed too: a peer that is never
        // chosen keeps an outdated latency, which only another call corrects.
        bool const in_preferred_domain =
            !has_local_candidate ||
            candidate.is_in_local_domain_ != spills_to_other_domain;
        if (in_preferred_domain && load.is_probe_due(now))
            probes.push_back(found);
        if (is_straggler)
            stragglers.push_back(found);
        else if (in_preferred_domain)
            preferred.push_back(found);
        else
            others.push_back(found);
    }
    if (!probes.empty() && uniform(random) < probe_ratio)
        return probes;
    for (std::vector<weighted_candidate> const& found :
         {preferred, others, probes})
    {
        if (!found.empty())
            return found;
    }
    return stragglers;
}

void two_choice_selector::on_call_sent(
    service_name const& service, endpoint peer, absl::Time now)
{
    if (peer_load* const load = services_[service].peers_.find(peer))
        load->on_call_sent(now);
}

void two_choice_selector::on_call_finished(
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
    if (outcome == call_outcome::completed)
        state.hedge_budget_.observe(latency);
    // Excludes local stragglers, because their latency does not show whether
    // their domain has free slots.
    bool const is_straggler =
        load->is_unresponsive() ||
        load->latency().median() >
            state.peers_.median_latency() * straggler_factor;
    if (!is_straggler || !load->is_local())
        state.domain_spill_.observe(load->is_local(), outcome, latency);
}

absl::Duration
two_choice_selector::hedge_delay(service_name const& service, absl::Time)
{
    hedge_budget& hedges = services_[service].hedge_budget_;
    hedges.on_call();
    return hedges.hedge_delay();
}

bool two_choice_selector::try_take_hedge(
    service_name const& service, absl::Time)
{
    return services_[service].hedge_budget_.try_take_hedge();
}

} // namespace samphire
