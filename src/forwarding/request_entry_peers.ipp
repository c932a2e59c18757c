#pragma once

#include <algorithm>
#include <utility>
#include <vector>

// What an entry does when other daemons come, go or fall silent.

namespace samphire
{

template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::needs_unreachable(
    entry_request const& request, absl::Time now) const
{
    std::vector<service_name> const needed =
        admission_.needed_by(*request.route_, now);
    return std::any_of(
        needed.begin(),
        needed.end(),
        [&](service_name const& service)
        { return !directory_.reachable(service); });
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::ask_unheard(absl::Time now)
{
    if (now < ask_due_)
        return;
    ask_due_ =
        requests_.empty() ? absl::InfiniteFuture() : now + limits_.ask_after_;
    for (endpoint const daemon : directory_.unheard(now - limits_.ask_after_))
    {
        sink_.ask(daemon);
        if (directory_.find(daemon)->silent(now))
            leave_silent(daemon, now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::leave_silent(
    endpoint daemon, absl::Time now)
{
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->in_flight_ && request->peer_ == daemon &&
            is_repeatable(request->route_->kind_) &&
            request->reached_ + 1 < request->route_->max_upstreams_)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        auto const next = placement_.choose(
            directory_.of_service(request.service_),
            request.tried_,
            zone_,
            false,
            now,
            random_);
        if (!next || next->peer_->silent(now) ||
            next->total_ > request.deadline_ - now || !may_repeat(request, now))
            continue;
        sink_.send(daemon, cancel_order{request.key_});
        ++request.reached_;
        end_send(request);
        place(request, now);
    }
}

template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::park(
    entry_request& request, absl::Time now)
{
    constexpr int part_of_time = 4;
    if (!request.parent_ || stopping_)
        return false;
    if (request.parked_until_ == absl::InfinitePast())
        request.parked_until_ =
            now +
            std::min(
                limits_.park_time_, (request.deadline_ - now) / part_of_time);
    if (now >= request.parked_until_)
        return false;
    parked_.push_back(request.request_.token_);
    parked_due_ = std::min(parked_due_, now + limits_.park_step_);
    return true;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::place_parked(absl::Time now)
{
    if (now < parked_due_)
        return;
    parked_due_ = absl::InfiniteFuture();
    for (client_token const token :
         std::exchange(parked_, std::vector<client_token>()))
    {
        // Its client may have left meanwhile.
        if (auto const found = requests_.find(token); found != requests_.end())
            place(*found->second, now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_peer_connected(
    endpoint daemon, std::uint64_t incarnation, absl::Time now)
{
    peer_state const* const known = directory_.find(daemon);
    bool const same = known && known->incarnation_ == incarnation;
    directory_.connected(daemon, incarnation);
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->resolving_ && request->peer_ == daemon)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        if (same)
        {
            sink_.send(daemon, execution_query{request.key_});
            continue;
        }
        // The guard that knew the outcome is gone.
        request.resolving_ = false;
        end_send(request);
        on_unknown(request, verdict_reason::guard_lost, now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_peer_lost(
    endpoint daemon, absl::Time now)
{
    directory_.disconnected(daemon);
    std::vector<client_token> affected;
    for (auto const& [token, request] : requests_)
    {
        if (request->in_flight_ && request->peer_ == daemon &&
            !request->resolving_)
            affected.push_back(token);
    }
    for (client_token const token : affected)
    {
        entry_request& request = *requests_.at(token);
        if (is_repeatable(request.route_->kind_))
        {
            ++request.reached_;
            end_send(request);
            on_unknown(request, verdict_reason::guard_lost, now);
            continue;
        }
        request.resolving_ = true;
        deadlines_.set(
            token,
            std::min(
                now + limits_.resolve_time_,
                request.deadline_ + limits_.verdict_grace_));
    }
}

} // namespace samphire
