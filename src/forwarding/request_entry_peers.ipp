#pragma once

#include <algorithm>
#include <utility>
#include <vector>

// Member functions of request_entry that handle peers that connect, disconnect
// or fall silent.

namespace samphire
{

/// Returns true when a service that requests of the same route call is
/// unreachable, so that the execution of the request would be wasted.
template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::needs_unreachable_service(
    entry_request const& request, absl::Time now) const
{
    std::vector<service_name> const needed =
        admission_.dependencies_of(*request.route_, now);
    return std::any_of(
        needed.begin(),
        needed.end(),
        [&](service_name const& service)
        { return !directory_.is_service_reachable(service); });
}

/// Pings the guards that were sent a request and have sent nothing since, so
/// that a lost link is detected long before the connection over that link ends.
template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::ping_silent_guards(absl::Time now)
{
    if (now < ping_due_)
        return;
    ping_due_ = requests_.empty() ? absl::InfiniteFuture()
                                  : now + limits_.ping_interval_;
    for (endpoint const daemon :
         directory_.peers_awaiting_reply(now - limits_.ping_interval_))
    {
        sink_.ping(daemon);
        if (directory_.find(daemon)->is_silent(now))
            reroute_from_silent_guard(daemon, now);
    }
}

/// Sends the repeatable requests of a silent guard to other guards if their
/// retries are allowed and can end in time. Unrepeatable requests wait for the
/// silent guard, since no other daemon knows their outcome.
template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::reroute_from_silent_guard(
    endpoint daemon, absl::Time now)
{
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->is_in_flight_ && request->peer_ == daemon &&
            is_repeatable(request->route_->kind_) &&
            request->upstreams_reached_ + 1 < request->route_->max_upstreams_)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        auto const next = placement_.choose(
            directory_.peers_of_service(request.service_),
            request.tried_daemons_,
            zone_,
            false,
            now,
            random_);
        if (!next || next->peer_->is_silent(now) ||
            next->expected_total_ > request.deadline_ - now ||
            !claim_retry(request, now))
            continue;
        sink_.send(daemon, cancel_order{request.key_});
        ++request.upstreams_reached_;
        request.may_have_run_ = true;
        clear_in_flight(request);
        place_request(request, now);
    }
}

/// Parks the request until an upstream is available. Returns false when the
/// request may not wait and must be refused.
template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::try_park(
    entry_request& request, absl::Time now)
{
    constexpr int park_time_divisor = 4;
    if (!request.parent_)
        return false;
    if (request.parked_until_ == absl::InfinitePast())
        request.parked_until_ =
            now + std::min(
                      limits_.max_park_time_,
                      (request.deadline_ - now) / park_time_divisor);
    if (now >= request.parked_until_)
        return false;
    parked_calls_.push_back(request.request_.token_);
    park_retry_due_ =
        std::min(park_retry_due_, now + limits_.park_retry_interval_);
    return true;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::place_parked_calls(absl::Time now)
{
    if (now < park_retry_due_)
        return;
    park_retry_due_ = absl::InfiniteFuture();
    for (client_token const token :
         std::exchange(parked_calls_, std::vector<client_token>()))
    {
        // The client of a parked call may have disconnected, which removed the
        // call from `requests_`.
        if (auto const found = requests_.find(token); found != requests_.end())
            place_request(*found->second, now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_peer_connected(
    endpoint daemon, std::uint64_t incarnation, absl::Time now)
{
    peer_state const* const known = directory_.find(daemon);
    bool const same_process = known && known->incarnation_ == incarnation;
    directory_.set_connected(daemon, incarnation);
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->is_resolving_outcome_ && request->peer_ == daemon)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        if (same_process)
        {
            sink_.send(daemon, execution_query{request.key_});
            continue;
        }
        // The guard process that knew the outcome of the request no longer
        // exists.
        request.is_resolving_outcome_ = false;
        clear_in_flight(request);
        on_unknown_outcome(request, verdict_reason::guard_lost, now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_peer_lost(
    endpoint daemon, absl::Time now)
{
    directory_.set_disconnected(daemon);
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->is_in_flight_ && request->peer_ == daemon &&
            !request->is_resolving_outcome_)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        if (is_repeatable(request.route_->kind_))
        {
            ++request.upstreams_reached_;
            clear_in_flight(request);
            on_unknown_outcome(request, verdict_reason::guard_lost, now);
            continue;
        }
        request.is_resolving_outcome_ = true;
        deadlines_.set(
            token,
            std::min(
                now + limits_.resolve_timeout_,
                request.deadline_ + limits_.verdict_grace_period_));
    }
}

} // namespace samphire
