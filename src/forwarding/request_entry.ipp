#pragma once

#include "forwarding/request_fingerprint.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphire
{

namespace entry_status
{

constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t bad_gateway = 502;
constexpr std::uint16_t unavailable = 503;
constexpr std::uint16_t gateway_timeout = 504;

} // namespace entry_status

template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::put_in_force(
    std::shared_ptr<route_index const> routes)
{
    if (routes->policy().version_ <= policy_version() && routes_)
        return false;
    routes_ = std::move(routes);
    rotation_.clear();
    return true;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::refuse_unplaced(
    client_request const& request, std::uint16_t status, verdict_reason reason)
{
    sink_.note(
        {.event_ = "request_refused",
         .attempt_ = request.attempt_.value(),
         .reason_ = reason,
         .policy_version_ = policy_version(),
         .status_ = status});
    client_answer answer{.status_ = status, .reason_ = reason};
    if (status == entry_status::unavailable)
        answer.retry_after_ = limits_.default_retry_after_;
    sink_.answer(request.token_, answer);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_request(
    client_request received, absl::Time now)
{
    if (!routes_)
    {
        refuse_unplaced(
            received, entry_status::unavailable, verdict_reason::no_policy);
        return;
    }
    route_rule const* const route =
        routes_->find(received.host_, received.target_);
    if (!route)
    {
        refuse_unplaced(
            received, entry_status::not_found, verdict_reason::no_route);
        return;
    }
    if (stopping_)
    {
        refuse_unplaced(
            received,
            entry_status::unavailable,
            verdict_reason::daemon_stopping);
        return;
    }
    if (requests_.size() >= limits_.requests_)
    {
        refuse_unplaced(
            received, entry_status::unavailable, verdict_reason::overloaded);
        return;
    }
    absl::Duration const patience =
        received.patience_.value_or(absl::InfiniteDuration());
    auto state = std::make_unique<entry_request>();
    state->routes_ = routes_;
    state->route_ = route;
    state->service_ = rotation_.next(*route);
    state->deadline_ = received.received_ + std::min(patience, route->timeout_);
    state->fingerprint_ = request_fingerprint(
        caller_service_,
        received.host_,
        received.method_,
        received.target_,
        received.body_);
    client_token const token = received.token_;
    state->request_ = std::move(received);
    entry_request& request = *state;
    requests_.emplace(token, std::move(state));
    deadlines_.set(token, request.deadline_ + limits_.verdict_grace_);
    if (crashes_.refused(request.fingerprint_, now))
    {
        refuse(
            request,
            verdict_reason::crash_suspect,
            limits_.default_retry_after_,
            now);
        return;
    }
    if (request.deadline_ <= now)
    {
        refuse(request, verdict_reason::expired, absl::ZeroDuration(), now);
        return;
    }
    if (request.request_.parent_)
        request.parent_ = sink_.find_running(*request.request_.parent_);
    if (request.parent_ && request.parent_->repeated_)
        allowance_.on_repeated_call(request.service_, now);
    else
        allowance_.on_request(
            request.service_,
            !request.parent_ && !admission_.needed_by(*route, now).empty(),
            now);
    if (!request.parent_ && needs_unreachable(request, now))
    {
        refuse(
            request,
            verdict_reason::no_upstream,
            limits_.unreachable_retry_after_ * (1 + random_() % 3),
            now);
        return;
    }
    if (request.parent_)
        request.weight_ = request.parent_->weight_;
    else if (auto const verdict = admission_.decide(
                 *request.routes_,
                 *route,
                 directory_.pressure(request.service_),
                 random_,
                 now);
             verdict.admitted_)
        request.weight_ = verdict.weight_;
    else
    {
        constexpr double permille = 1000;
        request.pressure_permille_ =
            static_cast<std::int64_t>(permille * verdict.level_);
        refuse(
            request,
            verdict_reason::overloaded,
            limits_.shed_retry_after_ * (1 + random_() % 3),
            now);
        return;
    }
    place(request, now);
}

/// True when a service that the route's requests call cannot be reached, so
/// that the request would run in vain.
/// Asks guards that are silent though they have work, so that a lost link shows
/// long before its connection ends.
/// Sends repeatable work of a silent guard elsewhere, where that is allowed and
/// there is time; other work waits for the guard, which alone knows of it.
/// Sends the request to a guard; otherwise answers it and returns false.
template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::place(
    entry_request& request, absl::Time now)
{
    absl::Duration const left = request.deadline_ - now;
    while (true)
    {
        std::optional<placement> const chosen = placement_.choose(
            directory_.of_service(request.service_),
            request.tried_,
            zone_,
            // Only work that can be sent again is used to look.
            is_repeatable(request.route_->kind_),
            now,
            random_);
        if (!chosen && park(request, now))
            return true;
        if (!chosen)
        {
            refuse(
                request,
                verdict_reason::no_upstream,
                limits_.unreachable_retry_after_ * (1 + random_() % 3),
                now);
            return false;
        }
        // Of a call its guard decides, which counts it as demand.
        if (!request.parent_ && chosen->wait_ > absl::ZeroDuration() &&
            chosen->total_ > left)
        {
            refuse(request, verdict_reason::overloaded, chosen->wait_, now);
            return false;
        }
        peer_state& peer = *chosen->peer_;
        client_request const& source = request.request_;
        request.key_ = {incarnation_, ++last_exchange_};
        request.peer_ = peer.record_.daemon_;
        request.tried_.push_back(request.peer_);
        request.sent_ = now;
        peer.last_sent_ = now;
        peer.unheard_since_ = std::min(peer.unheard_since_, now);
        ask_due_ = std::min(ask_due_, now + limits_.ask_after_);
        execute_order order{
            .key_ = request.key_,
            .attempt_ = source.attempt_,
            .service_ = request.service_,
            .route_ = request.route_->name_,
            .caller_service_ = caller_service_,
            .kind_ = request.route_->kind_,
            .priority_ = request.parent_ ? request.parent_->priority_
                                         : request.route_->priority_,
            .is_call_ = request.parent_.has_value(),
            .urgency_ =
                request.parent_
                    ? request.parent_->urgency_
                    : static_cast<std::uint32_t>(
                          request.routes_->urgency(request.route_->priority_)),
            .weight_ = request.weight_,
            .counted_ = request.tried_.size() > 1 && request.reached_ == 0,
            .repeated_ = request.reached_ > 0 ||
                         (request.parent_ && request.parent_->repeated_),
            .remaining_ = left,
            .method_ = source.method_,
            .target_ = source.target_,
            .headers_ = source.headers_,
            .body_ = source.body_,
            .has_body_ = source.has_body_,
            .fingerprint_ = request.fingerprint_};
        by_exchange_.emplace(request.key_.exchange_, source.token_);
        request.in_flight_ = true;
        ++peer.in_flight_;
        if (sink_.send(request.peer_, std::move(order)))
            return true;
        end_send(request);
        directory_.disconnected(request.peer_);
    }
}

/// True when the request waits for an upstream instead of being refused.
template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::end_send(entry_request& request)
{
    by_exchange_.erase(request.key_.exchange_);
    if (!std::exchange(request.in_flight_, false))
        return;
    peer_state* const peer = directory_.find(request.peer_);
    if (peer && peer->in_flight_ > 0)
        --peer->in_flight_;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_client_gone(
    client_token token, absl::Time now)
{
    auto const found = requests_.find(token);
    if (found == requests_.end())
        return;
    entry_request& request = *found->second;
    if (request.in_flight_)
        sink_.send(request.peer_, cancel_order{request.key_});
    sink_.note(
        {.event_ = "client_left",
         .attempt_ = request.request_.attempt_.value(),
         .reason_ = verdict_reason::client_left,
         .service_ = request.service_.value(),
         .exchange_ = request.key_.exchange_,
         .left_ms_ = absl::ToInt64Milliseconds(request.deadline_ - now)});
    end_send(request);
    deadlines_.erase(token);
    requests_.erase(found);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_result(
    endpoint from, execute_result const& result, absl::Time now)
{
    directory_.load(from, result.load_, now);
    auto const found = by_exchange_.find(result.key_.exchange_);
    if (found == by_exchange_.end() || result.key_.incarnation_ != incarnation_)
        return;
    entry_request& request = *requests_.at(found->second);
    end_send(request);
    request.resolving_ = false;
    admission_.on_result(*request.route_, result, now);
    if (request.parent_)
        sink_.on_call_ended(request.parent_->key_, result.pressures_, false);
    if (peer_state* const peer = directory_.find(from))
        peer->in_flight_at_report_ = peer->in_flight_;
    if (result.reached_)
        ++request.reached_;
    switch (result.verdict_)
    {
    case execution_verdict::answered:
        if (result.status_ < 300)
            crashes_.on_success(request.fingerprint_);
        finish(
            request,
            {.status_ = result.status_,
             .headers_ = result.headers_,
             .body_ = result.body_,
             .own_ = false},
            now);
        return;
    case execution_verdict::not_run:
        on_not_run(request, result, now);
        return;
    case execution_verdict::unknown:
        on_unknown(request, result.reason_, now);
        return;
    case execution_verdict::timed_out:
        fail(request, entry_status::gateway_timeout, result.reason_, now);
        return;
    }
}

template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::may_repeat(
    entry_request& request, absl::Time now)
{
    return request.reached_ < request.route_->max_upstreams_ &&
           request.deadline_ > now &&
           !crashes_.refused(request.fingerprint_, now) &&
           allowance_.take(request.service_, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_not_run(
    entry_request& request, execute_result const& result, absl::Time now)
{
    bool const closed = result.reason_ != verdict_reason::overloaded &&
                        result.reason_ != verdict_reason::expired &&
                        result.reason_ != verdict_reason::rejected &&
                        result.reason_ != verdict_reason::guard_lost;
    peer_state* const peer = directory_.find(request.peer_);
    if (closed && peer)
        peer->closed_until_ = now + limits_.closed_pause_;
    // Nothing ran, so any kind of request may go elsewhere; only what reached
    // an upstream counts as a repeat.
    bool const worthwhile = result.reason_ != verdict_reason::expired &&
                            request.tried_.size() < limits_.placements_ &&
                            request.deadline_ > now;
    if (worthwhile && (!result.reached_ || may_repeat(request, now)))
    {
        place(request, now);
        return;
    }
    refuse(request, result.reason_, result.retry_after_, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_unknown(
    entry_request& request, verdict_reason reason, absl::Time now)
{
    bool const repeatable = is_repeatable(request.route_->kind_);
    if (repeatable && may_repeat(request, now))
    {
        auto const next = placement_.choose(
            directory_.of_service(request.service_),
            request.tried_,
            zone_,
            false,
            now,
            random_);
        if (next && next->total_ <= request.deadline_ - now)
        {
            place(request, now);
            return;
        }
    }
    fail(request, entry_status::bad_gateway, reason, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::tick(absl::Time now)
{
    ask_unheard(now);
    place_parked(now);
    while (auto const token = deadlines_.pop_due(now))
    {
        entry_request& request = *requests_.at(*token);
        if (request.in_flight_ && !request.resolving_)
            sink_.send(request.peer_, cancel_order{request.key_});
        bool const timed_out = request.deadline_ <= now;
        end_send(request);
        fail(
            request,
            timed_out ? entry_status::gateway_timeout
                      : entry_status::bad_gateway,
            request.resolving_ ? verdict_reason::guard_lost
                               : verdict_reason::upstream_timeout,
            now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::refuse(
    entry_request& request,
    verdict_reason reason,
    absl::Duration retry_after,
    absl::Time now)
{
    // Repeatable work that reached an upstream before may have run there.
    std::uint16_t const status =
        request.reached_ > 0 && reason != verdict_reason::rejected
            ? entry_status::bad_gateway
            : entry_status::unavailable;
    client_answer answer{.status_ = status, .reason_ = reason};
    if (status == entry_status::unavailable)
        answer.retry_after_ =
            std::max(retry_after, limits_.default_retry_after_);
    finish(request, answer, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::fail(
    entry_request& request,
    std::uint16_t status,
    verdict_reason reason,
    absl::Time now)
{
    finish(request, {.status_ = status, .reason_ = reason}, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::finish(
    entry_request& request, client_answer const& answer, absl::Time now)
{
    client_token const token = request.request_.token_;
    peer_state const* const peer = directory_.find(request.peer_);
    std::string const peer_text =
        answer.own_ && peer ? request.peer_.text() : std::string();
    sink_.note(
        {.event_ = answer.own_ ? "request_failed" : "request_answered",
         .attempt_ = request.request_.attempt_.value(),
         .reason_ = answer.reason_,
         .service_ = request.service_.value(),
         .route_ = request.route_->name_.value(),
         .peer_ = peer_text,
         .policy_version_ = request.routes_->policy().version_,
         .exchange_ = request.key_.exchange_,
         .running_ = peer ? std::int64_t{peer->load_.running_} : -1,
         .queued_ = peer ? std::int64_t{peer->load_.queued_} : -1,
         .slots_ = peer ? std::int64_t{peer->load_.slots_} : -1,
         .left_ms_ = absl::ToInt64Milliseconds(request.deadline_ - now),
         .wait_ms_ =
             absl::ToInt64Milliseconds(now - request.request_.received_),
         .report_age_ms_ = peer && peer->load_at_ != absl::InfinitePast()
                               ? absl::ToInt64Milliseconds(now - peer->load_at_)
                               : -1,
         .pressure_permille_ = request.pressure_permille_,
         .status_ = answer.status_,
         .tries_ = static_cast<std::int64_t>(request.tried_.size())});
    if (request.parent_)
        sink_.on_call_ended(
            request.parent_->key_,
            {directory_.pressure(request.service_)},
            answer.status_ >= 300);
    deadlines_.erase(token);
    auto const node = requests_.extract(token);
    sink_.answer(token, answer);
}

} // namespace samphire
