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
bool request_entry<Sink, Placement>::apply_routes(
    std::shared_ptr<route_index const> routes)
{
    if (routes->policy().version_ <= policy_version() && routes_)
        return false;
    routes_ = std::move(routes);
    round_robin_.clear();
    return true;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::refuse_on_arrival(
    client_request const& request, std::uint16_t status, verdict_reason reason)
{
    sink_.record_decision(
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
        refuse_on_arrival(
            received, entry_status::unavailable, verdict_reason::no_policy);
        return;
    }
    route_rule const* const route =
        routes_->find(received.host_, received.target_);
    if (!route)
    {
        refuse_on_arrival(
            received, entry_status::not_found, verdict_reason::no_route);
        return;
    }
    if (requests_.size() >= limits_.max_requests_)
    {
        refuse_on_arrival(
            received, entry_status::unavailable, verdict_reason::overloaded);
        return;
    }
    absl::Duration const client_timeout =
        received.client_timeout_.value_or(absl::InfiniteDuration());
    auto new_request = std::make_unique<entry_request>();
    new_request->routes_ = routes_;
    new_request->route_ = route;
    new_request->service_ = round_robin_.next(*route);
    new_request->deadline_ = horizon_.bounded(
        received.received_at_ + std::min(client_timeout, route->timeout_));
    new_request->fingerprint_ = request_fingerprint(
        caller_service_,
        received.host_,
        received.method_,
        received.target_,
        received.body_);
    client_token const token = received.token_;
    new_request->request_ = std::move(received);
    entry_request& request = *new_request;
    requests_.emplace(token, std::move(new_request));
    deadlines_.set(token, request.deadline_ + limits_.verdict_grace_period_);
    if (crashes_.is_refused(request.fingerprint_, now))
    {
        refuse_request(
            request,
            verdict_reason::crash_suspect,
            limits_.default_retry_after_,
            now);
        return;
    }
    if (request.deadline_ <= now)
    {
        refuse_request(
            request, verdict_reason::expired, absl::ZeroDuration(), now);
        return;
    }
    if (request.request_.parent_)
        request.parent_ =
            sink_.find_running_execution(*request.request_.parent_);
    // A call is taken as long as its parent runs: refusing it would waste the
    // work of the parent, which ends in time.
    if (!request.parent_ && !horizon_.can_end(route->name_, now))
    {
        refuse_request(
            request,
            verdict_reason::daemon_stopping,
            limits_.default_retry_after_,
            now);
        return;
    }
    if (request.parent_ && request.parent_->is_retry_)
        allowance_.on_call_of_retry(request.service_, now);
    else
        allowance_.on_request(
            request.service_,
            !request.parent_ &&
                !admission_.dependencies_of(*route, now).empty(),
            now);
    if (!request.parent_ && needs_unreachable_service(request, now))
    {
        refuse_request(
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
                 directory_.pressure_of_service(request.service_),
                 random_,
                 now);
             verdict.admitted_)
        request.weight_ = verdict.weight_;
    else
    {
        constexpr double permille = 1000;
        request.pressure_permille_ =
            static_cast<std::int64_t>(permille * verdict.pressure_);
        refuse_request(
            request,
            verdict_reason::overloaded,
            limits_.overload_retry_after_ * (1 + random_() % 3),
            now);
        return;
    }
    place_request(request, now);
}

/// Sends the request to a guard, or parks the request until an upstream is
/// available, and returns true. Refuses the request and returns false when
/// neither is possible.
template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::place_request(
    entry_request& request, absl::Time now)
{
    // The request may have become a suspect while it waited at a guard or was
    // parked.
    if (crashes_.is_refused(request.fingerprint_, now))
    {
        refuse_request(
            request,
            verdict_reason::crash_suspect,
            limits_.default_retry_after_,
            now);
        return false;
    }
    absl::Duration const left = request.deadline_ - now;
    while (true)
    {
        std::optional<placement> const chosen = placement_.choose(
            directory_.peers_of_service(request.service_),
            request.tried_daemons_,
            zone_,
            // Only repeatable requests may be sent to an upstream just to
            // measure the present speed of that upstream.
            is_repeatable(request.route_->kind_),
            now,
            random_);
        if (!chosen && try_park(request, now))
            return true;
        if (!chosen)
        {
            refuse_request(
                request,
                verdict_reason::no_upstream,
                limits_.unreachable_retry_after_ * (1 + random_() % 3),
                now);
            return false;
        }
        // Refuses a client's request whose answer is likely to be late. A call
        // is sent even then: the guard counts the call as demand and decides
        // whether to run the call.
        if (!request.parent_ && chosen->expected_wait_ > absl::ZeroDuration() &&
            chosen->expected_total_ > left)
        {
            refuse_request(
                request,
                verdict_reason::overloaded,
                chosen->expected_wait_,
                now);
            return false;
        }
        peer_state& peer = *chosen->peer_;
        client_request const& source = request.request_;
        request.key_ = {incarnation_, ++last_exchange_};
        request.peer_ = peer.record_.daemon_;
        request.tried_daemons_.push_back(request.peer_);
        request.sent_at_ = now;
        peer.last_sent_ = now;
        peer.awaiting_reply_since_ = std::min(peer.awaiting_reply_since_, now);
        ping_due_ = std::min(ping_due_, now + limits_.ping_interval_);
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
            .demand_counted_ = request.tried_daemons_.size() > 1 &&
                               request.upstreams_reached_ == 0,
            .is_retry_ = request.upstreams_reached_ > 0 ||
                         (request.parent_ && request.parent_->is_retry_),
            .known_rate_limit_ = peer.rate_limit_,
            .remaining_time_ = left,
            .method_ = source.method_,
            .target_ = source.target_,
            .headers_ = source.headers_,
            .body_ = source.body_,
            .has_body_ = source.has_body_,
            .fingerprint_ = request.fingerprint_};
        tokens_by_exchange_.emplace(
            request.key_.exchange_number_, source.token_);
        request.is_in_flight_ = true;
        ++peer.in_flight_requests_;
        if (sink_.send(request.peer_, std::move(order)))
            return true;
        clear_in_flight(request);
        directory_.set_disconnected(request.peer_);
    }
}

/// Removes the request from `tokens_by_exchange_` and from the number of
/// requests in flight to its guard.
template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::clear_in_flight(entry_request& request)
{
    tokens_by_exchange_.erase(request.key_.exchange_number_);
    if (!std::exchange(request.is_in_flight_, false))
        return;
    peer_state* const peer = directory_.find(request.peer_);
    if (peer && peer->in_flight_requests_ > 0)
        --peer->in_flight_requests_;
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_client_gone(
    client_token token, absl::Time now)
{
    auto const found = requests_.find(token);
    if (found == requests_.end())
        return;
    entry_request& request = *found->second;
    if (request.is_in_flight_)
        sink_.send(request.peer_, cancel_order{request.key_});
    sink_.record_decision(
        {.event_ = "client_left",
         .attempt_ = request.request_.attempt_.value(),
         .reason_ = verdict_reason::client_left,
         .service_ = request.service_.value(),
         .exchange_ = request.key_.exchange_number_,
         .remaining_ms_ = absl::ToInt64Milliseconds(request.deadline_ - now),
         .wait_ms_ =
             absl::ToInt64Milliseconds(now - request.request_.received_at_)});
    clear_in_flight(request);
    deadlines_.erase(token);
    requests_.erase(found);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_result(
    endpoint from, execute_result const& result, absl::Time now)
{
    directory_.set_load_report(from, result.load_, now);
    if (result.leaving_upstream_start_ms_ != 0)
        directory_.set_leaving(from, result.leaving_upstream_start_ms_);
    auto const found = tokens_by_exchange_.find(result.key_.exchange_number_);
    if (found == tokens_by_exchange_.end() ||
        result.key_.incarnation_ != incarnation_)
        return;
    entry_request& request = *requests_.at(found->second);
    clear_in_flight(request);
    request.is_resolving_outcome_ = false;
    admission_.on_result(*request.route_, result, now);
    if (request.parent_)
        sink_.on_call_ended(
            request.parent_->key_, result.service_pressures_, false);
    if (peer_state* const peer = directory_.find(from))
        peer->in_flight_requests_at_report_ = peer->in_flight_requests_;
    if (result.reached_upstream_)
        ++request.upstreams_reached_;
    switch (result.verdict_)
    {
    case execution_verdict::answered:
        if (result.status_ < 300)
            crashes_.on_success(request.fingerprint_);
        horizon_.observe(
            request.route_->name_, now - request.request_.received_at_);
        finish_request(
            request,
            {.status_ = result.status_,
             .headers_ = result.headers_,
             .body_ = result.body_,
             .made_by_entry_ = false},
            now);
        return;
    case execution_verdict::not_run:
        on_not_run(request, result, now);
        return;
    case execution_verdict::unknown:
        on_unknown_outcome(request, result.reason_, now);
        return;
    case execution_verdict::timed_out:
        fail_request(
            request, entry_status::gateway_timeout, result.reason_, now);
        return;
    }
}

template <class Sink, placement_policy Placement>
bool request_entry<Sink, Placement>::claim_retry(
    entry_request& request, absl::Time now)
{
    return request.upstreams_reached_ < request.route_->max_upstreams_ &&
           request.deadline_ > now &&
           !crashes_.is_refused(request.fingerprint_, now) &&
           allowance_.claim_retry(request.service_, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_not_run(
    entry_request& request, execute_result const& result, absl::Time now)
{
    bool const guard_closed = result.reason_ != verdict_reason::overloaded &&
                              result.reason_ != verdict_reason::expired &&
                              result.reason_ != verdict_reason::rejected &&
                              result.reason_ != verdict_reason::guard_lost;
    peer_state* const peer = directory_.find(request.peer_);
    if (guard_closed && peer)
        peer->cooldown_until_ = now + limits_.refusal_cooldown_;
    // The request has not run, so even an unrepeatable request may be sent to
    // another guard. The new placement counts as a retry only if the request
    // reached an upstream.
    bool const may_place_again =
        result.reason_ != verdict_reason::expired &&
        request.tried_daemons_.size() < limits_.max_tried_daemons_ &&
        request.deadline_ > now;
    if (may_place_again &&
        (!result.reached_upstream_ || claim_retry(request, now)))
    {
        place_request(request, now);
        return;
    }
    refuse_request(request, result.reason_, result.retry_after_, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::on_unknown_outcome(
    entry_request& request, verdict_reason reason, absl::Time now)
{
    request.may_have_run_ = true;
    bool const repeatable = is_repeatable(request.route_->kind_);
    if (repeatable && claim_retry(request, now))
    {
        auto const next = placement_.choose(
            directory_.peers_of_service(request.service_),
            request.tried_daemons_,
            zone_,
            false,
            now,
            random_);
        if (next && next->expected_total_ <= request.deadline_ - now)
        {
            place_request(request, now);
            return;
        }
    }
    fail_request(request, entry_status::bad_gateway, reason, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::tick(absl::Time now)
{
    ping_silent_guards(now);
    place_parked_calls(now);
    while (auto const token = deadlines_.pop_due(now))
    {
        entry_request& request = *requests_.at(*token);
        if (request.is_in_flight_ && !request.is_resolving_outcome_)
            sink_.send(request.peer_, cancel_order{request.key_});
        bool const timed_out = request.deadline_ <= now;
        clear_in_flight(request);
        fail_request(
            request,
            timed_out ? entry_status::gateway_timeout
                      : entry_status::bad_gateway,
            request.is_resolving_outcome_ ? verdict_reason::guard_lost
                                          : verdict_reason::upstream_timeout,
            now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::end_all(absl::Time now)
{
    while (!requests_.empty())
    {
        entry_request& request = *requests_.begin()->second;
        // What was sent to a guard may run or have run.
        if (request.is_in_flight_)
            fail_request(
                request,
                entry_status::bad_gateway,
                verdict_reason::daemon_stopping,
                now);
        else
            refuse_request(
                request,
                verdict_reason::daemon_stopping,
                limits_.default_retry_after_,
                now);
    }
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::refuse_request(
    entry_request& request,
    verdict_reason reason,
    absl::Duration retry_after,
    absl::Time now)
{
    std::uint16_t const status = request.may_have_run_
                                     ? entry_status::bad_gateway
                                     : entry_status::unavailable;
    client_answer answer{.status_ = status, .reason_ = reason};
    if (status == entry_status::unavailable)
        answer.retry_after_ =
            std::max(retry_after, limits_.default_retry_after_);
    finish_request(request, answer, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::fail_request(
    entry_request& request,
    std::uint16_t status,
    verdict_reason reason,
    absl::Time now)
{
    finish_request(request, {.status_ = status, .reason_ = reason}, now);
}

template <class Sink, placement_policy Placement>
void request_entry<Sink, Placement>::finish_request(
    entry_request& request, client_answer const& answer, absl::Time now)
{
    client_token const token = request.request_.token_;
    peer_state const* const peer = directory_.find(request.peer_);
    std::string const peer_text =
        answer.made_by_entry_ && peer ? request.peer_.text() : std::string();
    sink_.record_decision(
        {.event_ =
             answer.made_by_entry_ ? "request_failed" : "request_answered",
         .attempt_ = request.request_.attempt_.value(),
         .reason_ = answer.reason_,
         .service_ = request.service_.value(),
         .route_ = request.route_->name_.value(),
         .peer_ = peer_text,
         .policy_version_ = request.routes_->policy().version_,
         .exchange_ = request.key_.exchange_number_,
         .running_executions_ =
             peer ? std::int64_t{peer->load_.running_executions_} : -1,
         .queued_executions_ =
             peer ? std::int64_t{peer->load_.queued_executions_} : -1,
         .slots_ = peer ? std::int64_t{peer->load_.slots_} : -1,
         .remaining_ms_ = absl::ToInt64Milliseconds(request.deadline_ - now),
         .wait_ms_ =
             absl::ToInt64Milliseconds(now - request.request_.received_at_),
         .load_report_age_ms_ =
             peer && peer->load_report_time_ != absl::InfinitePast()
                 ? absl::ToInt64Milliseconds(now - peer->load_report_time_)
                 : -1,
         .pressure_permille_ = request.pressure_permille_,
         .status_ = answer.status_,
         .guards_tried_ =
             static_cast<std::int64_t>(request.tried_daemons_.size())});
    if (request.parent_)
        sink_.on_call_ended(
            request.parent_->key_,
            {directory_.pressure_of_service(request.service_)},
            answer.status_ >= 300);
    deadlines_.erase(token);
    auto const node = requests_.extract(token);
    sink_.answer(token, answer);
}

} // namespace samphire
