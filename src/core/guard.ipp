#pragma once

#include <algorithm>
#include <set>
#include <vector>

namespace samphire
{

namespace hand_over_limits
{

// This time is enough to transfer 8 MB of stored answers inside a failure
// domain. If the peer is slower, the daemon departs without a successor.
constexpr absl::Duration hand_over_timeout = absl::Seconds(2);
// Differs from every exchange id of call_router, which counts from a random
// 48-bit number.
constexpr exchange_id hand_over_exchange{~std::uint64_t{0}};

} // namespace hand_over_limits

template <policies Policies>
void guard<Policies>::on(
    peer_identity const& from, execute_request const& request, absl::Time now)
{
    reply_address const origin{from.endpoint_, request.exchange_};
    if (execution_by_address_.contains(origin))
        return;
    if (request.ticket_ && answer_from_record(origin, request, now))
        return;
    auto execution = std::make_unique<accepted_execution>(request, origin, now);
    outcome_reason const reason = refusal_reason(*execution, now);
    if (reason != outcome_reason::none)
    {
        close_record(*execution, now);
        reply(
            origin,
            call_outcome::not_run,
            reason,
            0,
            {},
            request.context_.attempts_left_,
            route_level(request, now),
            now);
        return;
    }
    execution_id const id = next_execution_id_;
    next_execution_id_ = next_execution_id_.next();
    execution_by_address_.emplace(origin, id);
    if (request.ticket_)
        execution_by_nonce_.emplace(request.ticket_->nonce_, id);
    accepted_execution const& accepted =
        *executions_.emplace(id, std::move(execution)).first->second;
    queue_deadlines_.set(id, accepted.deadline());
    enqueue_request(id, accepted, now);
    start_admitted_requests(now);
}

/// Answers a request whose ticket is already recorded or cannot be accepted.
/// Returns true when the request must not run.
template <policies Policies>
bool guard<Policies>::answer_from_record(
    reply_address const& origin, execute_request const& request, absl::Time now)
{
    // The incarnation alone does not identify the guard: two daemons may have
    // drawn the same number.
    bool const names_this_guard =
        request.ticket_->guard_ == context_.self().daemon_;
    ticket_lookup_result const registry_result =
        names_this_guard
            ? registry_.accept(*request.ticket_, now)
            : ticket_lookup_result{ticket_state::expired, std::nullopt};
    ticket_lookup_result const lookup_result =
        registry_result.state_ == ticket_state::expired
            ? find_departed_record(*request.ticket_)
            : registry_result;
    std::uint32_t const attempts_left = request.context_.attempts_left_;
    switch (lookup_result.state_)
    {
    case ticket_state::fresh:
        return false;
    case ticket_state::running:
    {
        auto const found = execution_by_nonce_.find(request.ticket_->nonce_);
        if (found == execution_by_nonce_.end())
        {
            reply(
                origin,
                call_outcome::unknown,
                outcome_reason::in_progress,
                0,
                {},
                attempts_left,
                {},
                now);
            return true;
        }
        executions_.at(found->second)->add_waiter(origin);
        execution_by_address_.emplace(origin, found->second);
        return true;
    }
    case ticket_state::answered:
        reply(
            origin,
            call_outcome::completed,
            outcome_reason::none,
            lookup_result.answer_->status_,
            lookup_result.answer_->body_,
            attempts_left,
            {},
            now);
        return true;
    case ticket_state::closed:
        refuse(origin, outcome_reason::ticket_closed, attempts_left, now);
        return true;
    case ticket_state::unknown:
        reply(
            origin,
            call_outcome::unknown,
            outcome_reason::upstream_failed,
            0,
            {},
            attempts_left,
            {},
            now);
        return true;
    case ticket_state::expired:
        // A ticket that was never sent before cannot have run. A ticket that
        // was sent before may have run, and its record may be gone.
        if (request.ticket_not_sent_before_)
            refuse(origin, outcome_reason::ticket_expired, attempts_left, now);
        else
            reply(
                origin,
                call_outcome::unknown,
                outcome_reason::ticket_expired,
                0,
                {},
                attempts_left,
                {},
                now);
        return true;
    }
    return true;
}

template <policies Policies>
admission_level guard<Policies>::route_level(
    execute_request const& request, absl::Time now) const
{
    return child_levels_by_route_.current_level(
        request.service_, request.route_, now);
}

template <policies Policies>
outcome_reason guard<Policies>::refusal_reason(
    accepted_execution const& execution, absl::Time now)
{
    bool const listed_as_leaving =
        config_.index().is_leaving(context_.self().daemon_);
    if (drain_.refuses_new_work(leaving_ || listed_as_leaving))
        return outcome_reason::leaving;
    if (!upstream_)
        return outcome_reason::no_upstream;
    if (quarantine_.assess(execution.request_hash(), now) ==
        suspicion::quarantined)
        return outcome_reason::quarantined;
    if (executions_.size() >= context_.settings().call_capacity_)
        return outcome_reason::table_full;
    // A request with a priority below the level of its route is refused,
    // because the calls that it makes would be shed after part of its work is
    // done.
    execute_request const& request = execution.request();
    std::uint64_t const priority = request_priority(
        request.context_.importance_, request.context_.request_);
    if (priority < route_level(request, now).value())
        return outcome_reason::overloaded;
    return outcome_reason::none;
}

template <policies Policies>
void guard<Policies>::enqueue_request(
    execution_id id, accepted_execution const& execution, absl::Time now)
{
    execute_request const& request = execution.request();
    route_policy const& route =
        config_.index().find(request.service_, request.route_);
    bool const suspect =
        quarantine_.assess(execution.request_hash(), now) == suspicion::suspect;
    admission_request const offered_request{
        .execution_ = id,
        .request_ = request.context_.request_,
        .importance_ = request.context_.importance_,
        .work_class_ = route.work_class_,
        .depth_ = request.context_.depth_,
        .deadline_ = execution.deadline(),
        .runs_alone_ = suspect};
    for (shed_execution const& decision :
         admission_.offer(offered_request, now))
        shed_request(decision, now);
}

template <policies Policies>
void guard<Policies>::start_admitted_requests(absl::Time now)
{
    // No request starts until it is known whether a lost connection was due to
    // a crash of the upstream.
    if (!upstream_ || crash_detector_.is_undecided())
        return;
    while (auto const id = admission_.start_next(now))
    {
        // After a pause of the process the queue may hold expired requests.
        if (executions_.at(*id)->deadline() <= now)
            shed_request({*id, outcome_reason::deadline}, now);
        else
            start_execution(*id, now);
    }
}

template <policies Policies>
void guard<Policies>::start_execution(execution_id id, absl::Time now)
{
    accepted_execution& execution = *executions_.at(id);
    execution.set_started();
    queue_deadlines_.erase(id);
    execute_request const& request = execution.request();
    route_policy const& route =
        config_.index().find(request.service_, request.route_);
    context_.emit(start_at_upstream{
        .execution_ = id,
        .upstream_ = *upstream_,
        .route_ = request.route_,
        .body_ = request.body_,
        .timeout_ = execution.deadline() - now,
        .trace_ = request.context_.trace_,
        .importance_ = request.context_.importance_,
        .work_class_ = route.work_class_});
}

template <policies Policies>
void guard<Policies>::shed_request(
    shed_execution const& decision, absl::Time now)
{
    close_record(*executions_.at(decision.execution_), now);
    finish_execution(
        decision.execution_,
        call_outcome::not_run,
        decision.reason_,
        0,
        {},
        now);
}

/// Answers queued requests whose deadlines have passed with outcome not_run,
/// even if the admission policy would keep them in its queue.
template <policies Policies>
void guard<Policies>::shed_expired_requests(absl::Time now)
{
    while (auto const id = queue_deadlines_.pop_due(now))
        shed_request({*id, outcome_reason::deadline}, now);
}

template <policies Policies>
void guard<Policies>::close_record(
    accepted_execution const& execution, absl::Time now)
{
    if (execution.request().ticket_)
        registry_.close(execution.request().ticket_->nonce_, now);
}

template <policies Policies>
void guard<Policies>::on(
    peer_identity const& from, cancel_request const& request, absl::Time now)
{
    reply_address const origin{from.endpoint_, request.exchange_};
    auto const found = execution_by_address_.find(origin);
    if (found == execution_by_address_.end())
        return;
    execution_id const id = found->second;
    accepted_execution& execution = *executions_.at(id);
    execution.remove_waiter(origin);
    execution_by_address_.erase(found);
    // The execution goes on while another sender waits for it. A started
    // execution of an unrepeatable request goes on too, because its answer is
    // recorded for a caller that repeats the request.
    bool const keep_running =
        !execution.waiters().empty() ||
        (execution.started() && execution.request().ticket_);
    if (keep_running)
        return;
    if (execution.started())
    {
        context_.emit(cancel_at_upstream{id});
        return;
    }
    shed_request({id, outcome_reason::cancelled}, now);
    start_admitted_requests(now);
}

/// Cancels the waiting requests of an entry that can no longer cancel them
/// itself.
template <policies Policies>
void guard<Policies>::withdraw_waiting_requests(endpoint entry, absl::Time now)
{
    // Sorted, since the order of the map differs between processes and a seed
    // must repeat a run.
    std::set<reply_address> waiting;
    for (auto const& [origin, id] : execution_by_address_)
    {
        if (origin.peer_ == entry && !executions_.at(id)->started())
            waiting.insert(origin);
    }
    for (reply_address const& origin : waiting)
    {
        auto const found = execution_by_address_.find(origin);
        if (found == execution_by_address_.end())
            continue;
        execution_id const id = found->second;
        accepted_execution& execution = *executions_.at(id);
        execution.remove_waiter(origin);
        execution_by_address_.erase(found);
        if (execution.waiters().empty())
            shed_request({id, outcome_reason::cancelled}, now);
    }
    start_admitted_requests(now);
}

template <policies Policies>
void guard<Policies>::on(
    peer_identity const& from, ticket_query const& query, absl::Time now)
{
    bool const names_this_guard =
        query.ticket_.guard_ == context_.self().daemon_;
    ticket_lookup_result const registry_result =
        names_this_guard
            ? registry_.query(query.ticket_, query.close_, now)
            : ticket_lookup_result{ticket_state::expired, std::nullopt};
    ticket_lookup_result const lookup_result =
        registry_result.state_ == ticket_state::expired
            ? find_departed_record(query.ticket_)
            : registry_result;
    bool const still_queued =
        lookup_result.state_ == ticket_state::running && query.close_ &&
        execution_by_nonce_.contains(query.ticket_.nonce_) &&
        !executions_.at(execution_by_nonce_.at(query.ticket_.nonce_))
             ->started();
    if (still_queued)
    {
        shed_request(
            {execution_by_nonce_.at(query.ticket_.nonce_),
             outcome_reason::deadline},
            now);
        context_.emit(send_to_peer{
            from.endpoint_,
            ticket_reply{query.exchange_, ticket_state::closed, {}}});
        start_admitted_requests(now);
        return;
    }
    context_.emit(send_to_peer{
        from.endpoint_,
        ticket_reply{
            query.exchange_, lookup_result.state_, lookup_result.answer_}});
}

template <policies Policies>
void guard<Policies>::on(
    peer_identity const&, crash_suspects const& message, absl::Time now)
{
    for (crash_suspect const& suspect : message.suspects_)
        quarantine_.merge(suspect, now);
}

template <policies Policies>
void guard<Policies>::on(
    peer_identity const&, record_transfer const& transfer, absl::Time)
{
    departed_records_.add(transfer);
}

template <policies Policies>
ticket_lookup_result
guard<Policies>::find_departed_record(execution_ticket const& ticket) const
{
    return departed_records_.find(ticket);
}

template <policies Policies>
void guard<Policies>::on(upstream_announced const& event, absl::Time now)
{
    upstream_announcement const& announcement = event.announcement_;
    upstream_ = announcement.endpoint_;
    announcement_expires_at_ = now + context_.settings().announcement_lifetime_;
    admission_.set_slots(announcement.slots_, now);
    admission_.report_load(announcement.reported_load_, now);
    members_.update_upstream(announcement, now);
    start_admitted_requests(now);
}

template <policies Policies>
void guard<Policies>::on(upstream_answered const& event, absl::Time now)
{
    auto const found = executions_.find(event.execution_);
    if (found == executions_.end())
        return;
    accepted_execution const& execution = *found->second;
    if (execution.request().ticket_)
        registry_.record_answer(
            execution.request().ticket_->nonce_,
            {event.status_, event.body_},
            now);
    crash_detector_.on_answered(now);
    if (quarantine_.on_request_completed(execution.request_hash(), now))
        broadcast_suspects({{{execution.request_hash(), 0, false}}});
    finish_execution(
        event.execution_,
        call_outcome::completed,
        outcome_reason::none,
        event.status_,
        event.body_,
        now);
    check_for_crash(now);
    start_admitted_requests(now);
}

template <policies Policies>
void guard<Policies>::on(upstream_failed const& event, absl::Time now)
{
    auto const found = executions_.find(event.execution_);
    if (found == executions_.end())
        return;
    accepted_execution const& execution = *found->second;
    if (event.failure_ == upstream_failure::connection_lost)
    {
        // No reply is sent until it is known whether the upstream crashed,
        // because a retry of the request must not crash a second upstream.
        crash_detector_.on_connection_lost(event.execution_, now);
        check_for_crash(now);
        return;
    }
    if (event.failure_ == upstream_failure::refused)
    {
        close_record(execution, now);
        finish_execution(
            event.execution_,
            call_outcome::not_run,
            outcome_reason::upstream_failed,
            0,
            {},
            now);
        if (crash_detector_.is_undecided())
            finish_lost_executions(outcome_reason::upstream_crashed, now);
    }
    else
    {
        if (execution.request().ticket_)
            registry_.record_unknown(execution.request().ticket_->nonce_, now);
        finish_execution(
            event.execution_,
            call_outcome::unknown,
            outcome_reason::upstream_failed,
            0,
            {},
            now);
    }
    start_admitted_requests(now);
}

template <policies Policies>
std::size_t guard<Policies>::started_execution_count() const
{
    return static_cast<std::size_t>(std::count_if(
        executions_.begin(),
        executions_.end(),
        [](auto const& entry) { return entry.second->started(); }));
}

template <policies Policies>
void guard<Policies>::check_for_crash(absl::Time now)
{
    if (crash_detector_.has_crashed(started_execution_count()))
        finish_lost_executions(outcome_reason::upstream_crashed, now);
    else if (crash_detector_.is_decision_due(now))
        finish_lost_executions(outcome_reason::upstream_failed, now);
}

/// Answers the requests whose connections to the upstream were lost. After a
/// crash of the upstream, each of these requests becomes a suspect.
template <policies Policies>
void guard<Policies>::finish_lost_executions(
    outcome_reason reason, absl::Time now)
{
    bool const crashed = reason == outcome_reason::upstream_crashed;
    std::vector<execution_id> const lost_executions =
        crash_detector_.take_lost_requests();
    std::vector<fingerprint> in_flight;
    for (execution_id const id : lost_executions)
    {
        if (executions_.contains(id))
            in_flight.push_back(executions_.at(id)->request_hash());
    }
    if (crashed)
        suspect_notices_.add(
            quarantine_.on_upstream_crash(in_flight, now), now);
    for (execution_id const id : lost_executions)
    {
        if (!executions_.contains(id))
            continue;
        accepted_execution const& execution = *executions_.at(id);
        bool const quarantined =
            quarantine_.assess(execution.request_hash(), now) ==
            suspicion::quarantined;
        if (execution.request().ticket_)
            registry_.record_unknown(execution.request().ticket_->nonce_, now);
        finish_execution(
            id,
            call_outcome::unknown,
            quarantined ? outcome_reason::quarantined : reason,
            0,
            {},
            now);
    }
    if (crashed)
        withdraw_upstream(now);
}

template <policies Policies>
void guard<Policies>::withdraw_upstream(absl::Time now)
{
    if (!upstream_)
        return;
    upstream_.reset();
    admission_.set_slots(0, now);
    members_.clear_upstream(now);
    refuse_queued_requests(outcome_reason::no_upstream, now);
}

/// Refuses all requests that have not started, so that their senders can try
/// another guard.
template <policies Policies>
void guard<Policies>::refuse_queued_requests(
    outcome_reason reason, absl::Time now)
{
    std::vector<execution_id> queued;
    for (auto const& [id, execution] : executions_)
    {
        if (!execution->started())
            queued.push_back(id);
    }
    // Sorted because the order of the hash map differs between runs.
    std::sort(queued.begin(), queued.end());
    for (execution_id const id : queued)
        shed_request({id, reason}, now);
}

template <policies Policies>
void guard<Policies>::broadcast_suspects(crash_suspects const& message)
{
    for (member_record const& member : members_.records())
    {
        bool const same_domain_peer =
            member.domain_ == context_.self().domain_ &&
            member.daemon_ != context_.self().daemon_ &&
            member.status_ != member_status::gone;
        if (same_domain_peer)
            context_.emit(send_datagram{member.endpoint_, message});
    }
}

template <policies Policies>
void guard<Policies>::finish_execution(
    execution_id id,
    call_outcome outcome,
    outcome_reason reason,
    std::uint16_t status,
    payload const& body,
    absl::Time now)
{
    auto const node = executions_.extract(id);
    accepted_execution const& execution = *node.mapped();
    admission_.finish(id, now);
    queue_deadlines_.erase(id);
    if (execution.started())
        child_levels_by_route_.observe(
            execution.request().service_,
            execution.request().route_,
            execution.highest_child_level(),
            now);
    if (execution.request().ticket_)
        execution_by_nonce_.erase(execution.request().ticket_->nonce_);
    for (reply_address const& waiter : execution.waiters())
    {
        execution_by_address_.erase(waiter);
        reply(
            waiter,
            outcome,
            reason,
            status,
            body,
            execution.attempts_left(),
            execution.highest_child_level(),
            now);
    }
    trace_context const& trace = execution.request().context_.trace_;
    context_.emit(emit_span{
        {.parent_ = trace,
         .id_ = context_.random()(),
         .name_ = "guard " + execution.request().service_.value() + "/" +
                  execution.request().route_.value(),
         .start_ = execution.accepted_at(),
         .end_ = now,
         .outcome_ = std::string(reason_text(reason))}});
}

template <policies Policies>
void guard<Policies>::reply(
    reply_address const& to,
    call_outcome outcome,
    outcome_reason reason,
    std::uint16_t status,
    payload const& body,
    std::uint32_t attempts_left,
    admission_level highest_child_level,
    absl::Time now)
{
    context_.emit(send_to_peer{
        to.peer_,
        execute_reply{
            .exchange_ = to.exchange_,
            .outcome_ = outcome,
            .reason_ = reason,
            .status_ = status,
            .body_ = body,
            .body_hash_ = stable_hash(body.bytes()),
            .attempts_left_ = attempts_left,
            .admission_level_ =
                std::max(admission_.level(), highest_child_level),
            .epoch_ = registry_.epoch(now)}});
}

template <policies Policies>
void guard<Policies>::refuse(
    reply_address const& to,
    outcome_reason reason,
    std::uint32_t attempts_left,
    absl::Time now)
{
    reply(to, call_outcome::not_run, reason, 0, {}, attempts_left, {}, now);
}

template <policies Policies>
void guard<Policies>::leave(absl::Time now)
{
    if (leaving_)
        return;
    leaving_ = true;
    for (outgoing_message const& message : members_.announce_leaving(now))
        context_.emit(send_datagram{message.to_, message.message_});
    refuse_queued_requests(outcome_reason::leaving, now);
}

template <policies Policies>
bool guard<Policies>::continue_hand_over(absl::Time now)
{
    if (hand_over_ended_)
        return true;
    if (!hand_over_deadline_)
    {
        hand_over_deadline_ = now + hand_over_limits::hand_over_timeout;
        hand_over_ended_ = !send_records(now);
    }
    else if (now >= *hand_over_deadline_)
    {
        successor_ = {};
        hand_over_ended_ = true;
    }
    return hand_over_ended_;
}

/// Sends the execution records to a random peer of the domain. Returns false
/// when the domain has no live peer.
template <policies Policies>
bool guard<Policies>::send_records(absl::Time now)
{
    daemon_identity const& self = context_.self();
    std::vector<endpoint> peers;
    for (member_record const& member : members_.records())
    {
        if (member.domain_ == self.domain_ && member.daemon_ != self.daemon_ &&
            member.status_ == member_status::alive)
            peers.push_back(member.endpoint_);
    }
    if (peers.empty())
        return false;
    successor_ = peers[context_.random()() % peers.size()];
    ticket_epoch const epoch = registry_.epoch(now);
    for (record_transfer const& part : split_into_transfers(
             self.daemon_, self.incarnation_, epoch, registry_.records()))
        context_.emit(send_to_peer{successor_, part});
    // Queries a ticket that does not exist. Messages to one peer arrive in
    // order, so the reply `closed` shows that the peer has received all
    // records.
    execution_ticket const absent_ticket{
        .guard_ = self.daemon_,
        .incarnation_ = self.incarnation_,
        .endpoint_ = self.endpoint_,
        .epoch_ = epoch,
        .nonce_ = {context_.random()(), context_.random()()}};
    context_.emit(send_to_peer{
        successor_,
        ticket_query{
            hand_over_limits::hand_over_exchange, absent_ticket, false}});
    return true;
}

template <policies Policies>
bool guard<Policies>::on(
    peer_identity const& from, ticket_reply const& reply, absl::Time)
{
    if (reply.exchange_ != hand_over_limits::hand_over_exchange)
        return false;
    if (!hand_over_ended_ && from.endpoint_ == successor_)
    {
        if (reply.state_ != ticket_state::closed)
            successor_ = {};
        hand_over_ended_ = true;
    }
    return true;
}

template <policies Policies>
void guard<Policies>::on(peer_unreachable const& event, absl::Time now)
{
    withdraw_waiting_requests(event.peer_, now);
    if (hand_over_ended_ || !hand_over_deadline_ || event.peer_ != successor_)
        return;
    successor_ = {};
    hand_over_ended_ = true;
}

template <policies Policies>
void guard<Policies>::tick(absl::Time now)
{
    if (upstream_ && now >= announcement_expires_at_)
        withdraw_upstream(now);
    check_for_crash(now);
    if (hand_over_deadline_ && now >= *hand_over_deadline_ && !hand_over_ended_)
    {
        successor_ = {};
        hand_over_ended_ = true;
    }
    for (crash_suspects const& message :
         suspect_notices_.take_due_messages(now))
        broadcast_suspects(message);
    bool const listed_as_leaving =
        config_.index().is_leaving(context_.self().daemon_);
    if (drain_.refuses_new_work(leaving_ || listed_as_leaving))
        refuse_queued_requests(outcome_reason::leaving, now);
    for (shed_execution const& decision : admission_.expire(now))
        shed_request(decision, now);
    shed_expired_requests(now);
    members_.set_epoch(registry_.epoch(now), now);
    start_admitted_requests(now);
}

template <policies Policies>
absl::Time guard<Policies>::next_deadline() const
{
    absl::Time const withdrawal =
        upstream_ ? announcement_expires_at_ : absl::InfiniteFuture();
    return std::min(
        {withdrawal,
         admission_.next_deadline(),
         queue_deadlines_.next_deadline(),
         crash_detector_.next_deadline(),
         suspect_notices_.next_deadline(),
         hand_over_ended_
             ? absl::InfiniteFuture()
             : hand_over_deadline_.value_or(absl::InfiniteFuture())});
}

template <policies Policies>
accepted_execution* guard<Policies>::find_execution(execution_id id)
{
    auto const found = executions_.find(id);
    return found == executions_.end() ? nullptr : found->second.get();
}

} // namespace samphire
