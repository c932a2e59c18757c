#pragma once

#include <algorithm>
#include <vector>

namespace samphire
{

namespace call_router_limits
{

constexpr std::size_t max_observed_routes = 4096;
// Maximum number of ticket queries of one call. A second query is sent when the
// first was lost with its connection.
constexpr std::uint32_t max_queries_per_call = 2;
// Maximum number of redirects of one call that use no retry budget. A redirect
// from a guard that is leaving is free, because nothing ran. The maximum ends
// the redirects of a call to a service whose guards are all leaving.
constexpr std::uint32_t max_free_redirects = 4;

/// Returns true for an HTTP status that means that the upstream did not serve
/// the request: bad gateway, service unavailable, gateway timeout.
constexpr bool is_failure_status(std::uint16_t status)
{
    return status >= 502 && status <= 504;
}

} // namespace call_router_limits

template <policies Policies>
call_router<Policies>::call_router(
    core_context& context,
    platform_operations& operations,
    configuration<Policies>& config,
    membership& members,
    guard<Policies>& local_guard)
    : context_(context), operations_(operations), config_(config),
      members_(members), guard_(local_guard),
      observed_levels_(call_router_limits::max_observed_routes),
      // Exchange ids start at a random number, so that replies to an earlier
      // process at this address match no exchange.
      next_exchange_((context.random()() >> 16) + 1), key_binder_({})
{
}

template <policies Policies>
void call_router<Policies>::on(call_received const& received, absl::Time now)
{
    if (join_pending_call(received, now))
        return;
    accepted_execution* const parent = guard_.find_execution(received.parent_);
    route_policy const& route =
        config_.index().find(received.service_, received.route_);
    auto state = std::make_unique<pending_call>(
        received,
        make_context(received, parent, now),
        // A call with a ticket stays unrepeatable even if the policy of its
        // route has changed.
        route.unrepeatable_ || received.ticket_,
        now);
    outcome_reason const reason = refusal_reason(*state, parent, now);
    pending_call& call =
        *calls_.emplace(received.call_, std::move(state)).first->second;
    if (received.source_ == call_source::caller && !received.key_.empty())
        call_by_key_.try_emplace(
            key_identity(received.service_, received.route_, received.key_),
            received.call_);
    if (reason != outcome_reason::none)
    {
        // An earlier call with the same ticket or key may have run, so the
        // outcome is then unknown.
        bool const possibly_sent_before =
            received.ticket_ || (call.unrepeatable() && !received.key_.empty());
        answer_call(
            call,
            possibly_sent_before ? call_outcome::unknown
                                 : call_outcome::not_run,
            reason,
            0,
            {},
            now);
        return;
    }
    start_call(call, now);
}

/// Adds the call to a pending call with the same key, ticket and body. Both
/// calls get the same answer, and the added call uses no retry budget. Returns
/// false when there is no such pending call, or when too many calls have
/// joined.
template <policies Policies>
bool call_router<Policies>::join_pending_call(
    call_received const& received, absl::Time)
{
    if (received.source_ != call_source::caller || received.key_.empty())
        return false;
    auto const found = call_by_key_.find(
        key_identity(received.service_, received.route_, received.key_));
    if (found == call_by_key_.end())
        return false;
    pending_call& call = *calls_.at(found->second);
    bool const may_join =
        call.call().body_ == received.body_ &&
        (!received.ticket_ || call.ticket() == received.ticket_) &&
        pending_call_by_joined_call_.size() <
            context_.settings().call_capacity_;
    if (!may_join)
        return false;
    call.add_caller(received.call_);
    pending_call_by_joined_call_.emplace(received.call_, found->second);
    return true;
}

template <policies Policies>
call_context call_router<Policies>::make_context(
    call_received const& call, accepted_execution* parent, absl::Time now)
{
    route_policy const& route =
        config_.index().find(call.service_, call.route_);
    std::uint64_t const call_span = context_.random()();
    absl::Duration const timeout = std::min(call.timeout_, route.timeout_);
    if (parent)
    {
        call_context const& parent_context = parent->request().context_;
        std::uint32_t const granted_attempts =
            retry_.granted_attempts(parent->attempts_left());
        parent->subtract_attempts(granted_attempts);
        return {
            .request_ = parent_context.request_,
            .trace_ =
                {parent_context.trace_.trace_high_,
                 parent_context.trace_.trace_low_,
                 call_span},
            .importance_ =
                std::max(parent_context.importance_, route.importance_),
            .depth_ = parent_context.depth_ + 1,
            .attempts_left_ = granted_attempts,
            .time_to_deadline_ = std::min(timeout, parent->deadline() - now)};
    }
    request_id const request{context_.random()(), context_.random()()};
    trace_context const trace =
        call.trace_
            ? trace_context{call.trace_->trace_high_, call.trace_->trace_low_, call_span}
            : trace_context{request.high_, request.low_, call_span};
    // A call of the local upstream that names no running execution gets no
    // retries, because the retry budget of its parent request is unknown.
    std::uint32_t const retry_budget =
        call.source_ == call_source::caller
            ? retry_.initial_budget(config_.index().document().retries_)
            : 0;
    return {
        .request_ = request,
        .trace_ = trace,
        .importance_ = route.importance_,
        .depth_ = 0,
        .attempts_left_ = retry_budget,
        .time_to_deadline_ = timeout};
}

template <policies Policies>
outcome_reason call_router<Policies>::refusal_reason(
    pending_call const& call, accepted_execution* parent, absl::Time now)
{
    call_received const& received = call.call();
    if (received.source_ == call_source::caller && stopping_)
        return outcome_reason::leaving;
    bool const possibly_sent_before =
        received.ticket_ || (call.unrepeatable() && !received.key_.empty());
    bool const quarantined =
        !possibly_sent_before &&
        guard_.assess(call.request_hash(), now) == suspicion::quarantined;
    if (quarantined)
        return outcome_reason::quarantined;
    if (calls_.size() >= context_.settings().call_capacity_)
        return outcome_reason::table_full;
    // A parent execution that is repeatable, or that belongs to an earlier
    // process of this daemon, may be retried and would then repeat this
    // unrepeatable call.
    bool const parent_may_repeat = call.unrepeatable() && !received.ticket_ &&
                                   !received.parent_.empty() &&
                                   !(parent && parent->request().ticket_);
    if (parent_may_repeat)
        return outcome_reason::parent_repeatable;
    if (call.deadline() <= now)
        return outcome_reason::deadline;
    admission_level const level =
        observed_levels_.current_level(received.service_, received.route_, now);
    std::uint64_t const priority =
        request_priority(call.context().importance_, call.context().request_);
    // A call with a ticket or key is shed by its guard, because only the guard
    // can close the ticket.
    bool const may_shed_here =
        !received.ticket_ && !(call.unrepeatable() && !received.key_.empty());
    if (priority < level.value() && may_shed_here)
    {
        // The reply of the parent execution reports the level to the daemon
        // that sent the parent request. Without the level, that daemon would
        // keep admitting requests whose calls are shed here.
        if (parent)
            parent->observe_child_level(level);
        return outcome_reason::overloaded;
    }
    return outcome_reason::none;
}

template <policies Policies>
void call_router<Policies>::start_call(pending_call& call, absl::Time now)
{
    call_received const& received = call.call();
    if (call.unrepeatable() && received.ticket_)
    {
        send_to_record_holder(call, now);
        return;
    }
    accepted_execution* const parent = guard_.find_execution(received.parent_);
    if (call.unrepeatable() && !received.key_.empty() && parent)
    {
        // The parent execution runs only once and at this daemon, so the table
        // of the parent can bind keys to tickets without the platform.
        if (auto const child_ticket = parent->child_ticket(received.key_))
        {
            call.set_ticket_bound_to_key(*child_ticket);
            send_to_record_holder(call, now);
            return;
        }
    }
    else if (call.unrepeatable() && !received.key_.empty())
    {
        if (!bind_key(call, std::nullopt, now))
            answer_call(
                call,
                call_outcome::unknown,
                outcome_reason::no_upstream,
                0,
                {},
                now);
        return;
    }
    retry_.on_first_attempt(received.service_, now);
    if (!send_to_new_guard(call, now))
        answer_call(
            call,
            call_outcome::not_run,
            outcome_reason::no_upstream,
            0,
            {},
            now);
}

/// Requests the ticket of the idempotency key from the platform and offers a
/// new ticket. The key is bound to the new ticket if the key has no ticket or
/// is bound to `closed_ticket`. Returns false when there is no guard for a new
/// ticket.
template <policies Policies>
bool call_router<Policies>::bind_key(
    pending_call& call,
    std::optional<execution_ticket> const& closed_ticket,
    absl::Time now)
{
    auto const offered_ticket = new_ticket(call, now);
    if (!offered_ticket)
        return false;
    call_received const& received = call.call();
    call.set_phase(call_phase::binding);
    key_binder_.bind(
        {.call_ = received.call_,
         .key_ =
             key_identity(received.service_, received.route_, received.key_),
         .offered_ticket_ = *offered_ticket,
         .closed_ticket_ = closed_ticket},
        now);
    schedule_timer(call);
    return true;
}

template <policies Policies>
void call_router<Policies>::on(platform_replied const& event, absl::Time now)
{
    auto const found = shard_of_operation_.find(event.operation_);
    if (found == shard_of_operation_.end())
        return;
    std::size_t const shard = found->second;
    shard_of_operation_.erase(found);
    on_shard_result(shard, event.result_, now);
    start_platform_calls(now);
}

template <policies Policies>
void call_router<Policies>::on_shard_result(
    std::size_t shard, platform_result const& result_of_call, absl::Time now)
{
    for (binding_result const& result :
         key_binder_.on_result(shard, result_of_call, now))
    {
        auto const found = calls_.find(result.call_);
        bool const awaits_binding =
            found != calls_.end() &&
            found->second->phase() == call_phase::binding;
        if (awaits_binding)
            on_binding_result(*found->second, result, now);
    }
}

template <policies Policies>
void call_router<Policies>::on_binding_result(
    pending_call& call, binding_result const& result, absl::Time now)
{
    constexpr outcome_reason reason = outcome_reason::platform_unavailable;
    switch (result.outcome_)
    {
    case binding_outcome::bound:
        if (call.attempts_made() == 0)
            retry_.on_first_attempt(call.call().service_, now);
        call.set_ticket_bound_to_key(*result.ticket_);
        send_to_record_holder(call, now);
        return;
    case binding_outcome::not_bound:
        answer_call(call, call_outcome::not_run, reason, 0, {}, now);
        return;
    case binding_outcome::unknown:
        // An earlier call with the same key may have run, so the outcome of
        // this call must not be not_run.
        answer_call(call, call_outcome::unknown, reason, 0, {}, now);
        return;
    }
}

template <policies Policies>
void call_router<Policies>::start_platform_calls(absl::Time now)
{
    for (binding_operation const& due : key_binder_.start_due_calls(now))
    {
        auto const operation =
            operations_.call(operation_owner::key_bindings, due.request_);
        if (operation)
            shard_of_operation_.emplace(*operation, due.shard_number_);
        else
            on_shard_result(
                due.shard_number_, {.status_ = platform_status::refused}, now);
    }
}

/// Sends the call to the guard of its ticket, or to the daemon that took over
/// the execution records of that guard. Marks the ticket as possibly sent
/// before.
template <policies Policies>
void call_router<Policies>::send_to_record_holder(
    pending_call& call, absl::Time now)
{
    send_attempt(call, record_holder_endpoint(*call.ticket()), false, now);
}

template <policies Policies>
endpoint call_router<Policies>::record_holder_endpoint(
    execution_ticket const& ticket) const
{
    return members_.successor_of(ticket.guard_, ticket.incarnation_)
        .value_or(ticket.endpoint_);
}

template <policies Policies>
void call_router<Policies>::record_crash_report(
    pending_call const& call, outcome_reason reason, absl::Time now)
{
    if (reason == outcome_reason::upstream_crashed)
        guard_.merge_suspect({call.request_hash(), 1, false}, now);
    if (reason == outcome_reason::quarantined)
        guard_.merge_suspect({call.request_hash(), 2, true}, now);
}

/// Reports a suspect request to the guard, before the request and over the same
/// connection, so that the guard runs the request alone even if the datagrams
/// that reported the suspect were lost.
template <policies Policies>
void call_router<Policies>::report_suspect(
    pending_call const& call, endpoint peer, absl::Time now)
{
    if (guard_.assess(call.request_hash(), now) == suspicion::clear)
        return;
    context_.emit(
        send_to_peer{peer, crash_suspects{{{call.request_hash(), 1, false}}}});
}

/// Returns a new ticket for a guard that was not tried yet; nullopt when there
/// is no such guard.
template <policies Policies>
std::optional<execution_ticket>
call_router<Policies>::new_ticket(pending_call& call, absl::Time now)
{
    service_name const& service = call.call().service_;
    auto const candidates = members_.candidates(service);
    std::vector<endpoint> excluded = call.tried_peers();
    for (peer_candidate const& candidate : candidates)
    {
        bool const leaving =
            config_.index().is_leaving(candidate.daemon_) ||
            leaving_peers_.contains(
                candidate.endpoint_, candidate.incarnation_, now);
        if (leaving)
            excluded.push_back(candidate.endpoint_);
    }
    auto const index =
        selector_.select(service, candidates, excluded, context_.random(), now);
    if (!index)
        return std::nullopt;
    peer_candidate const& chosen = candidates[*index];
    return execution_ticket{
        .guard_ = chosen.daemon_,
        .incarnation_ = chosen.incarnation_,
        .endpoint_ = chosen.endpoint_,
        .epoch_ = chosen.epoch_,
        .nonce_ = new_nonce(call)};
}

/// Returns the nonce for a new ticket of the call. For a call of an
/// unrepeatable execution, the nonce is derived from the nonce of that
/// execution, the key of the call and the number of tickets that the execution
/// has used. Other calls get a random nonce.
template <policies Policies>
request_id call_router<Policies>::new_nonce(pending_call& call)
{
    call_received const& received = call.call();
    accepted_execution* const parent = guard_.find_execution(received.parent_);
    if (!parent || !parent->request().ticket_)
        return {context_.random()(), context_.random()()};
    std::string const identity =
        received.key_.empty() ? std::string("sequence") : received.key_.value();
    return child_nonce(
        parent->request().ticket_->nonce_,
        identity,
        parent->next_child_number());
}

/// Sends the call to a guard that was not tried yet. Returns false when there
/// is no such guard, or when the parent execution has too many keyed calls.
template <policies Policies>
bool call_router<Policies>::send_to_new_guard(
    pending_call& call, absl::Time now)
{
    auto const ticket = new_ticket(call, now);
    if (!ticket)
        return false;
    accepted_execution* const parent =
        guard_.find_execution(call.call().parent_);
    if (call.unrepeatable())
        call.set_ticket(*ticket);
    bool const has_key =
        call.unrepeatable() && parent && !call.call().key_.empty();
    if (has_key && !parent->store_child_ticket(call.call().key_, *ticket))
        return false;
    // Another call of the same parent with the same key may send the ticket
    // too, so ticket_not_sent_before is false for a keyed call.
    send_attempt(call, ticket->endpoint_, !has_key, now);
    return true;
}

template <policies Policies>
void call_router<Policies>::send_attempt(
    pending_call& call,
    endpoint peer,
    bool ticket_not_sent_before,
    absl::Time now)
{
    call_received const& received = call.call();
    call_context const& context = call.context();
    exchange_id const exchange = next_exchange_;
    next_exchange_ = next_exchange_.next();
    std::uint32_t const granted_attempts =
        retry_.granted_attempts(call.attempts_left());
    call.subtract_attempts(granted_attempts);
    call.add_attempt({exchange, peer, now, granted_attempts});
    call_by_exchange_.erase(call.query_exchange_id());
    call.end_query();
    call.set_phase(call_phase::executing);
    call_by_exchange_.emplace(exchange, received.call_);
    report_suspect(call, peer, now);
    selector_.on_call_sent(received.service_, peer, now);
    std::optional<execution_ticket> const ticket =
        call.unrepeatable() ? call.ticket() : std::nullopt;
    context_.emit(send_to_peer{
        peer,
        execute_request{
            .exchange_ = exchange,
            .service_ = received.service_,
            .route_ = received.route_,
            .body_ = received.body_,
            .context_ =
                {.request_ = context.request_,
                 .trace_ = context.trace_,
                 .importance_ = context.importance_,
                 .depth_ = context.depth_,
                 .attempts_left_ = granted_attempts,
                 .time_to_deadline_ = call.deadline() - now},
            .ticket_ = ticket,
            .ticket_not_sent_before_ = ticket_not_sent_before}});
    if (!call.unrepeatable() && call.attempts_made() == 1)
        call.set_hedge_at(now + selector_.hedge_delay(received.service_, now));
    schedule_timer(call);
}

/// Sends the call to another guard. Returns false when the retry budget is
/// exhausted or every guard was tried.
template <policies Policies>
bool call_router<Policies>::retry_call(pending_call& call, absl::Time now)
{
    return reserve_attempt(call, now) && send_to_new_guard(call, now);
}

/// Subtracts one retry from the retry budgets. Returns false when a budget is
/// exhausted or the deadline of the call has passed.
template <policies Policies>
bool call_router<Policies>::reserve_attempt(pending_call& call, absl::Time now)
{
    bool const reserved =
        now < call.deadline() && retry_.may_retry(
                                     call.call().service_,
                                     config_.index().document().retries_,
                                     call.attempts_left(),
                                     call.attempts_made(),
                                     now);
    if (reserved)
        call.subtract_attempts(1);
    return reserved;
}

template <policies Policies>
void call_router<Policies>::on(
    peer_identity const& from, execute_reply const& reply, absl::Time now)
{
    pending_call* const call = find_exchange(reply.exchange_);
    if (!call)
        return;
    auto const attempt = call->remove_attempt(reply.exchange_);
    call_by_exchange_.erase(reply.exchange_);
    if (!attempt)
        return;
    if (reply.reason_ == outcome_reason::leaving)
        leaving_peers_.add(attempt->peer_, from.incarnation_, now);
    if (reply.outcome_ == call_outcome::completed)
        guard_.merge_suspect({call->request_hash(), 0, false}, now);
    service_name const& service = call->call().service_;
    selector_.on_call_finished(
        service, attempt->peer_, reply.outcome_, now - attempt->sent_at_, now);
    observed_levels_.observe(
        service, call->call().route_, reply.admission_level_, now);
    if (accepted_execution* const parent =
            guard_.find_execution(call->call().parent_))
        parent->observe_child_level(reply.admission_level_);
    // The reply returns the retries that the execution has left. Several
    // senders that wait for the same execution all receive this number, so the
    // call adds no more than the retries that it granted.
    call->add_attempts(
        std::min(reply.attempts_left_, attempt->granted_attempts_));
    if (stable_hash(reply.body_.bytes()) != reply.body_hash_)
    {
        on_attempt_lost(*call, false, now);
        return;
    }
    switch (reply.outcome_)
    {
    case call_outcome::completed:
        if (retry_.retries_failure_status() &&
            call_router_limits::is_failure_status(reply.status_) &&
            call->outstanding_attempts().empty() && !call->unrepeatable() &&
            retry_call(*call, now))
            return;
        answer_call(
            *call,
            call_outcome::completed,
            outcome_reason::none,
            reply.status_,
            reply.body_,
            now);
        return;
    case call_outcome::not_run:
        on_not_run(*call, reply, now);
        return;
    case call_outcome::unknown:
        on_unknown(*call, reply.reason_, now);
        return;
    }
}

template <policies Policies>
void call_router<Policies>::on_not_run(
    pending_call& call, execute_reply const& reply, absl::Time now)
{
    if (!call.outstanding_attempts().empty())
        return;
    // Another guard may accept the request. No guard accepts a quarantined
    // request, and a ticket that the caller sent is valid at one guard only.
    bool const may_redirect =
        reply.reason_ != outcome_reason::quarantined && now < call.deadline() &&
        (!call.ticket_known_to_others() || call.ticket_bound_to_key());
    bool const free_redirect =
        may_redirect && reply.reason_ == outcome_reason::leaving &&
        call.count_redirect(call_router_limits::max_free_redirects);
    if (may_redirect && (free_redirect || reserve_attempt(call, now)))
    {
        // A key that is bound to the closed ticket has to be bound to a new
        // ticket.
        std::optional<execution_ticket> const closed_ticket = call.ticket();
        bool const sent = call.ticket_bound_to_key()
                              ? rebind_key(call, *closed_ticket, now)
                              : send_to_new_guard(call, now);
        if (sent)
            return;
    }
    answer_call(call, call_outcome::not_run, reply.reason_, 0, {}, now);
}

/// Starts the replacement of the closed ticket of the key by a new ticket.
/// Returns false for a call of a parent execution, or when there is no guard
/// for a new ticket.
template <policies Policies>
bool call_router<Policies>::rebind_key(
    pending_call& call, execution_ticket const& closed_ticket, absl::Time now)
{
    // Child tickets are not replaced here: another call of the same parent
    // execution may already have replaced the ticket.
    return call.call().parent_.empty() && bind_key(call, closed_ticket, now);
}

template <policies Policies>
void call_router<Policies>::on_unknown(
    pending_call& call, outcome_reason reason, absl::Time now)
{
    call.set_may_have_run();
    record_crash_report(call, reason, now);
    if (!call.outstanding_attempts().empty())
        return;
    bool const may_repeat =
        !call.unrepeatable() && reason != outcome_reason::quarantined;
    if (may_repeat && retry_call(call, now))
        return;
    answer_call(call, call_outcome::unknown, reason, 0, {}, now);
}

template <policies Policies>
void call_router<Policies>::on_attempt_lost(
    pending_call& call, bool undelivered, absl::Time now)
{
    if (!undelivered)
        call.set_may_have_run();
    if (!call.outstanding_attempts().empty())
        return;
    bool const may_repeat =
        !call.unrepeatable() || (undelivered && !call.ticket_known_to_others());
    if (may_repeat && retry_call(call, now))
        return;
    if (call.unrepeatable() && !undelivered)
    {
        query_ticket_or_answer_unknown(call, now);
        return;
    }
    call_outcome const outcome = undelivered && !call.ticket_known_to_others()
                                     ? call_outcome::not_run
                                     : call_outcome::unknown;
    if (undelivered && call.ticket_known_to_others())
        query_ticket_or_answer_unknown(call, now);
    else
        answer_call(
            call, outcome, outcome_reason::peer_unreachable, 0, {}, now);
}

/// Queries the state of the ticket at its guard, or at the daemon that took
/// over the execution records of that guard. Answers the call with outcome
/// unknown when the maximum number of queries was sent.
template <policies Policies>
void call_router<Policies>::query_ticket_or_answer_unknown(
    pending_call& call, absl::Time now)
{
    if (call.query_count() >= call_router_limits::max_queries_per_call)
        answer_call(
            call,
            call_outcome::unknown,
            outcome_reason::peer_unreachable,
            0,
            {},
            now);
    else
        query_ticket(call, record_holder_endpoint(*call.ticket()), now);
}

template <policies Policies>
void call_router<Policies>::query_ticket(
    pending_call& call, endpoint holder, absl::Time now)
{
    static_cast<void>(now);
    exchange_id const exchange = next_exchange_;
    next_exchange_ = next_exchange_.next();
    call_by_exchange_.erase(call.query_exchange_id());
    call_by_exchange_.emplace(exchange, call.call().call_);
    call.start_query(exchange, holder);
    context_.emit(send_to_peer{
        holder,
        ticket_query{
            .exchange_ = exchange, .ticket_ = *call.ticket(), .close_ = true}});
    schedule_timer(call);
}

template <policies Policies>
void call_router<Policies>::on(
    peer_identity const&, ticket_reply const& reply, absl::Time now)
{
    pending_call* const call = find_exchange(reply.exchange_);
    if (!call || call->query_exchange_id() != reply.exchange_)
        return;
    call_by_exchange_.erase(reply.exchange_);
    switch (reply.state_)
    {
    case ticket_state::answered:
        answer_call(
            *call,
            call_outcome::completed,
            outcome_reason::none,
            reply.answer_->status_,
            reply.answer_->body_,
            now);
        return;
    case ticket_state::closed:
        answer_call(
            *call, call_outcome::not_run, outcome_reason::deadline, 0, {}, now);
        return;
    case ticket_state::running:
        // The reply to an outstanding request, or the deadline, ends the call.
        if (call->outstanding_attempts().empty())
            answer_call(
                *call,
                call_outcome::unknown,
                outcome_reason::in_progress,
                0,
                {},
                now);
        return;
    default:
        answer_call(
            *call,
            call_outcome::unknown,
            outcome_reason::ticket_expired,
            0,
            {},
            now);
        return;
    }
}

template <policies Policies>
void call_router<Policies>::on(peer_unreachable const& event, absl::Time now)
{
    std::vector<call_id> affected_calls;
    for (auto const& [id, call] : calls_)
    {
        bool const awaits_reply = std::any_of(
            call->outstanding_attempts().begin(),
            call->outstanding_attempts().end(),
            [&](sent_attempt const& attempt)
            { return attempt.peer_ == event.peer_; });
        bool const awaits_ticket_state =
            call->phase() == call_phase::querying &&
            call->queried_peer() == event.peer_;
        if (awaits_reply || awaits_ticket_state)
            affected_calls.push_back(id);
    }
    // Sorted because the order of the hash map differs between runs.
    std::sort(affected_calls.begin(), affected_calls.end());
    for (call_id const id : affected_calls)
    {
        pending_call& call = *calls_.at(id);
        std::vector<sent_attempt> lost_attempts;
        for (sent_attempt const& attempt : call.outstanding_attempts())
        {
            if (attempt.peer_ == event.peer_)
                lost_attempts.push_back(attempt);
        }
        for (sent_attempt const& attempt : lost_attempts)
        {
            call.remove_attempt(attempt.exchange_);
            call_by_exchange_.erase(attempt.exchange_);
            selector_.on_call_finished(
                call.call().service_,
                attempt.peer_,
                call_outcome::unknown,
                now - attempt.sent_at_,
                now);
        }
        // A lost ticket query does not show whether the request arrived.
        bool const undelivered =
            event.none_delivered_ && call.phase() == call_phase::executing;
        on_attempt_lost(call, undelivered, now);
    }
}

template <policies Policies>
void call_router<Policies>::on(caller_disconnected const& event, absl::Time now)
{
    if (cancel_one_of_shared_callers(event.call_))
        return;
    auto const joined = pending_call_by_joined_call_.find(event.call_);
    call_id const leader = joined == pending_call_by_joined_call_.end()
                               ? event.call_
                               : joined->second;
    auto const found = calls_.find(leader);
    if (found == calls_.end())
        return;
    pending_call& call = *found->second;
    answer_call(
        call, call_outcome::unknown, outcome_reason::cancelled, 0, {}, now);
}

/// Removes one of several callers that share a pending call and answers that
/// caller with reason cancelled. Returns false, and does nothing, when the call
/// has no other caller.
template <policies Policies>
bool call_router<Policies>::cancel_one_of_shared_callers(call_id caller)
{
    auto const joined = pending_call_by_joined_call_.find(caller);
    call_id const leader =
        joined == pending_call_by_joined_call_.end() ? caller : joined->second;
    auto const found = calls_.find(leader);
    if (found == calls_.end() || found->second->callers().size() < 2)
        return false;
    pending_call& call = *found->second;
    call.remove_caller(caller);
    pending_call_by_joined_call_.erase(caller);
    context_.emit(answer_caller{
        .call_ = caller,
        .outcome_ = call_outcome::unknown,
        .reason_ = outcome_reason::cancelled,
        .ticket_ = call.unrepeatable() ? call.ticket() : std::nullopt,
        .trace_ = call.context().trace_});
    return true;
}

template <policies Policies>
void call_router<Policies>::tick(absl::Time now)
{
    while (auto const id = call_timers_.pop_due(now))
        on_timer(*calls_.at(*id), now);
    start_platform_calls(now);
}

template <policies Policies>
void call_router<Policies>::on_timer(pending_call& call, absl::Time now)
{
    if (now >= call.deadline())
    {
        answer_call(
            call, call_outcome::unknown, outcome_reason::deadline, 0, {}, now);
        return;
    }
    if (now >= call.hedge_at())
    {
        call.set_hedge_at(absl::InfiniteFuture());
        if (!call.outstanding_attempts().empty() &&
            selector_.try_take_hedge(call.call().service_, now))
            retry_call(call, now);
    }
    bool const query_due =
        call.unrepeatable() && call.phase() == call_phase::executing &&
        now >= call.ticket_query_at(context_.settings().ticket_query_margin_);
    if (query_due)
        query_ticket(call, record_holder_endpoint(*call.ticket()), now);
    schedule_timer(call);
}

template <policies Policies>
void call_router<Policies>::schedule_timer(pending_call const& call)
{
    absl::Time next = std::min(call.deadline(), call.hedge_at());
    if (call.unrepeatable() && call.phase() == call_phase::executing)
        next = std::min(
            next,
            call.ticket_query_at(context_.settings().ticket_query_margin_));
    call_timers_.set(call.call().call_, next);
}

template <policies Policies>
absl::Time call_router<Policies>::next_deadline() const
{
    return std::min(call_timers_.next_deadline(), key_binder_.next_deadline());
}

template <policies Policies>
void call_router<Policies>::answer_call(
    pending_call& call,
    call_outcome outcome,
    outcome_reason reason,
    std::uint16_t status,
    payload const& body,
    absl::Time now)
{
    call_id const id = call.call().call_;
    // A repeatable call may have run in any of its attempts. For an
    // unrepeatable call, the guard reports whether the ticket is closed, so
    // earlier lost attempts are not considered.
    bool const possibly_run =
        !call.unrepeatable() &&
        (call.may_have_run() || !call.outstanding_attempts().empty());
    if (outcome == call_outcome::not_run && possibly_run)
        outcome = call_outcome::unknown;
    for (sent_attempt const& attempt : call.outstanding_attempts())
    {
        call_by_exchange_.erase(attempt.exchange_);
        selector_.on_call_finished(
            call.call().service_,
            attempt.peer_,
            call_outcome::unknown,
            now - attempt.sent_at_,
            now);
        context_.emit(
            send_to_peer{attempt.peer_, cancel_request{attempt.exchange_}});
    }
    call_by_exchange_.erase(call.query_exchange_id());
    if (accepted_execution* const parent =
            guard_.find_execution(call.call().parent_))
    {
        parent->add_attempts(call.attempts_left());
        if (outcome == call_outcome::not_run && call.ticket())
            parent->drop_child_ticket(call.call().key_, *call.ticket());
    }
    // The ticket of a call that did not run is omitted, because the ticket
    // never runs and the caller cannot use it.
    bool const keep_ticket =
        call.unrepeatable() && outcome != call_outcome::not_run;
    for (call_id const caller : call.callers())
    {
        context_.emit(answer_caller{
            .call_ = caller,
            .outcome_ = outcome,
            .reason_ = reason,
            .status_ = status,
            .ticket_ = keep_ticket ? call.ticket() : std::nullopt,
            .body_ = body,
            .trace_ = call.context().trace_});
        pending_call_by_joined_call_.erase(caller);
    }
    trace_context const& trace = call.context().trace_;
    std::uint64_t const parent_span =
        call.call().trace_ ? call.call().trace_->span_ : 0;
    context_.emit(emit_span{
        {.parent_ = {trace.trace_high_, trace.trace_low_, parent_span},
         .id_ = trace.span_,
         .name_ = "entry " + call.call().service_.value() + "/" +
                  call.call().route_.value(),
         .start_ = call.received_at(),
         .end_ = now,
         .outcome_ = std::string(reason_text(reason))}});
    if (call.phase() == call_phase::binding)
        key_binder_.drop_request_of(id);
    auto const key_entry = call_by_key_.find(key_identity(
        call.call().service_, call.call().route_, call.call().key_));
    if (key_entry != call_by_key_.end() && key_entry->second == id)
        call_by_key_.erase(key_entry);
    call_timers_.erase(id);
    calls_.erase(id);
}

template <policies Policies>
pending_call* call_router<Policies>::find_exchange(exchange_id exchange)
{
    auto const found = call_by_exchange_.find(exchange);
    return found == call_by_exchange_.end() ? nullptr
                                            : calls_.at(found->second).get();
}

} // namespace samphire
