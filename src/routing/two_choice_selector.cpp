#include "routing/two_choice_selector.hpp"

#include <algorithm>
#include <random>

namespace samphire
{

static_assert(peer_selector<two_choice_selector>);

namespace
{

constexpr double straggler_factor = 3;
constexpr double probe_share = 0.01;
// A peer that refuses every call is chosen only against its like.
constexpr double refusal_cost = 10;

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
    // Callers choose the service names; state is kept only for services that
    // have peers.
    if (candidates.empty())
        return std::nullopt;
    service_state& state = services_[service];
    std::vector<choice> const choices =
        usable(state, candidates, excluded, random, now);
    if (choices.empty())
        return std::nullopt;
    choice const* const first = draw(choices, nullptr, random);
    choice const* const second = draw(choices, first, random);
    bool const better = second && second->cost_ < first->cost_;
    return better ? second->index_ : first->index_;
}

/// A random choice by weight, other than `taken`; null when there is none.
/// Two equal draws would send a quarter of the calls to the worse of two peers.
two_choice_selector::choice const* two_choice_selector::draw(
    std::vector<choice> const& choices,
    choice const* taken,
    random_source& random)
{
    double total = 0;
    for (choice const& each : choices)
        total += &each == taken ? 0 : each.weight_;
    double left = uniform(random) * total;
    choice const* last = nullptr;
    for (choice const& each : choices)
    {
        if (&each == taken)
            continue;
        last = &each;
        left -= each.weight_;
        if (left < 0)
            break;
    }
    return last;
}

/// The candidates to choose between: not excluded, the preferred domain, and
/// either one straggler to probe or none.
std::vector<two_choice_selector::choice> two_choice_selector::usable(
    service_state& state,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source& random,
    absl::Time now)
{
    state.peers_.keep_only(candidates);
    absl::Duration const median = state.peers_.median_latency();
    absl::Duration const limit = median * straggler_factor;
    bool const leaves = state.spill_.leaves(random);
    bool const local_exists = std::any_of(
        candidates.begin(),
        candidates.end(),
        [](peer_candidate const& candidate)
        { return candidate.local_domain_; });
    std::vector<choice> preferred;
    std::vector<choice> others;
    std::vector<choice> stragglers;
    std::vector<choice> probes;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        peer_candidate const& candidate = candidates[index];
        if (std::find(excluded.begin(), excluded.end(), candidate.endpoint_) !=
            excluded.end())
            continue;
        peer_load const& load = state.peers_.find(candidate, now);
        double const weight = load.warmth(now) * std::max(candidate.slots_, 1U);
        // An unknown peer counts as average: as the best it would get every
        // call until its first answer.
        absl::Duration const expected =
            load.latency().empty() ? median : load.expected_latency(now);
        absl::Duration const latency =
            std::max(expected, absl::Microseconds(1));
        choice const found{
            index,
            weight,
            static_cast<double>(load.in_flight() + 1) / weight *
                absl::ToDoubleSeconds(latency) *
                (1 + refusal_cost * load.refused())};
        bool const straggles =
            load.unresponsive() ||
            (limit > absl::ZeroDuration() && load.latency().median() > limit);
        // A usable peer that is never chosen has an old latency, which only
        // another call can correct.
        bool const near = !local_exists || candidate.local_domain_ != leaves;
        if (near && load.probe_due(now))
            probes.push_back(found);
        if (straggles)
            stragglers.push_back(found);
        else if (near)
            preferred.push_back(found);
        else
            others.push_back(found);
    }
    if (!probes.empty() && uniform(random) < probe_share)
        return probes;
    for (std::vector<choice> const& found : {preferred, others, probes})
    {
        if (!found.empty())
            return found;
    }
    return stragglers;
}

void two_choice_selector::sent(
    service_name const& service, endpoint peer, absl::Time now)
{
    if (peer_load* const load = services_[service].peers_.find(peer))
        load->sent(now);
}

void two_choice_selector::finished(
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
    if (outcome == call_outcome::completed)
        state.hedges_.observe(latency);
    // A slow straggler says nothing of the room of its domain.
    bool const straggles = load->unresponsive() ||
                           load->latency().median() >
                               state.peers_.median_latency() * straggler_factor;
    if (!straggles || !load->local())
        state.spill_.observe(load->local(), outcome, latency);
}

absl::Duration
two_choice_selector::hedge_delay(service_name const& service, absl::Time)
{
    hedge_budget& hedges = services_[service].hedges_;
    hedges.on_call();
    return hedges.delay();
}

bool two_choice_selector::take_hedge(service_name const& service, absl::Time)
{
    return services_[service].hedges_.take();
}

} // namespace samphire
