#pragma once

#include <algorithm>
#include <vector>

namespace samphire
{

namespace dispatch_order
{

/// Returns the priority of the order in the slot queue; a lower value is
/// started first. Calls are started before client requests of the same
/// priority, since the parents of calls already hold slots.
inline std::int32_t dispatch_priority(execute_order const& order)
{
    return order.priority_ * 2 + (order.is_call_ ? 0 : 1);
}

} // namespace dispatch_order

template <class Sink>
void upstream_guard<Sink>::set_upstream(
    upstream_record const& record, absl::Time now)
{
    bool const replaced = record.id_ != upstream_.id_ ||
                          record.start_time_ms_ != upstream_.start_time_ms_;
    upstream_ = record;
    if (replaced)
    {
        upstream_refuses_connections_ = false;
        next_probe_time_ = absl::InfiniteFuture();
        crash_probes_end_ = absl::InfinitePast();
        failed_ratio_ = 0;
        upstream_since_ = now;
        pacer_.set_limit({}, now);
    }
    if (upstream_.phase_ != upstream_phase::ready)
        return_waiting_orders(verdict_reason::upstream_leaving, now);
    else
        start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::stop(absl::Time now)
{
    stopping_ = true;
    return_waiting_orders(verdict_reason::daemon_stopping, now);
}

template <class Sink>
void upstream_guard<Sink>::end_all(absl::Time now)
{
    stop(now);
    while (!executions_.empty())
        finish_execution(
            executions_.begin()->first,
            execution_verdict::unknown,
            verdict_reason::daemon_stopping,
            true,
            nullptr,
            now);
}

template <class Sink>
absl::Duration
upstream_guard<Sink>::expected_wait(std::int32_t priority, absl::Time now) const
{
    std::size_t const slots = std::max<std::size_t>(upstream_.slots_, 1);
    std::size_t const ahead = waiting_orders_.requests_ahead_of(priority);
    absl::Duration const paced_wait = pacer_.wait(ahead, now);
    if (ahead == 0 && running_executions_ < slots)
        return paced_wait;
    return std::max(
        paced_wait,
        run_time_.mean(slowdown_factor_) * static_cast<double>(ahead + 1) /
            static_cast<double>(slots));
}

template <class Sink>
absl::Time upstream_guard<Sink>::next_deadline() const
{
    bool const waits_for_pacer = waiting_orders_.size() > 0 && is_open() &&
                                 running_executions_ < upstream_.slots_;
    return std::min(
        {deadlines_.next_deadline(),
         next_probe_time_,
         waits_for_pacer ? pacer_.next_start() : absl::InfiniteFuture()});
}

template <class Sink>
void upstream_guard<Sink>::learn_from_answer(
    guarded_execution const& execution,
    upstream_answer const& answer,
    absl::Time now)
{
    // Another process of the upstream made the answer.
    if (answer.misdirected_ || execution.started_at_ < upstream_since_)
        return;
    // A limit of zero is tested with few requests, since only an answer can
    // lift it.
    constexpr std::uint32_t min_requests_per_ks = 250;
    std::uint32_t const per_ks =
        answer.max_requests_per_ks_
            ? std::max(*answer.max_requests_per_ks_, min_requests_per_ks)
            : 0;
    if (rate_limit const limit{true, per_ks}; limit != pacer_.limit())
    {
        pacer_.set_limit(limit, now);
        sink_.record_decision(
            {.event_ = "rate_limit_changed",
             .attempt_ = execution.order_.attempt_.value(),
             .service_ = upstream_.service_.value(),
             .exchange_ = execution.order_.key_.exchange_number_,
             .queued_executions_ =
                 static_cast<std::int64_t>(waiting_orders_.size()),
             .limit_per_ks_ = per_ks});
    }
    if (answer.is_leaving_ && upstream_.phase_ == upstream_phase::ready)
        sink_.on_upstream_leaving();
}

template <class Sink>
verdict_reason upstream_guard<Sink>::refusal_reason(
    execute_order const& order, absl::Time now) const
{
    if (stopping_ || !horizon_.can_end(order.route_, now))
        return verdict_reason::daemon_stopping;
    if (upstream_.phase_ == upstream_phase::leaving)
        return verdict_reason::upstream_leaving;
    if (!is_open())
        return verdict_reason::no_upstream;
    if (order.service_ != upstream_.service_)
        return verdict_reason::wrong_service;
    if (order.remaining_time_ <= absl::ZeroDuration())
        return verdict_reason::expired;
    if (waiting_orders_.size() >= limits_.max_queued_requests_)
        return verdict_reason::overloaded;
    absl::Duration const wait =
        expected_wait(dispatch_order::dispatch_priority(order), now);
    bool const too_late =
        wait > absl::ZeroDuration() &&
        wait + run_time_.mean(slowdown_factor_) > order.remaining_time_;
    return too_late ? verdict_reason::overloaded : verdict_reason::none;
}

template <class Sink>
void upstream_guard<Sink>::on_order(execute_order order, absl::Time now)
{
    execution_key const key = order.key_;
    update_capacity(now);
    if (executions_.contains(key) || retained_results_.contains(key))
        return;
    if (!order.demand_counted_)
        demand_estimate_.add(order.urgency_, order.weight_, now);
    if (closed_keys_.contains(key))
    {
        refuse_order(order, verdict_reason::guard_lost, now);
        return;
    }
    absl::Time const deadline = horizon_.bounded(now + order.remaining_time_);
    if (!pacer_.limit().is_known_)
        pacer_.set_limit(order.known_rate_limit_, now);
    verdict_reason const reason = refusal_reason(order, now);
    if (reason != verdict_reason::none)
    {
        refuse_order(order, reason, now);
        return;
    }
    auto execution = std::make_unique<guarded_execution>(guarded_execution{
        .order_ = std::move(order),
        .rank_ = {},
        .arrived_at_ = now,
        .deadline_ = deadline});
    execution->rank_ = {
        dispatch_order::dispatch_priority(execution->order_),
        ++last_arrival_number_};
    waiting_orders_.push(execution->rank_, key);
    deadlines_.set(key, deadline);
    executions_.emplace(key, std::move(execution));
    start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::start_waiting_orders(absl::Time now)
{
    while (is_open() && running_executions_ < upstream_.slots_)
    {
        auto const key = waiting_orders_.front();
        if (!key || !pacer_.may_start(now))
            return;
        guarded_execution& execution = *executions_.at(*key);
        waiting_orders_.erase(execution.rank_);
        absl::Duration const left = execution.deadline_ - now;
        if (left < run_time_.mean(slowdown_factor_) / 4)
        {
            finish_execution(
                *key,
                execution_verdict::not_run,
                verdict_reason::expired,
                false,
                nullptr,
                now);
            continue;
        }
        execution.is_running_ = true;
        execution.started_at_ = now;
        ++running_executions_;
        pacer_.on_start(now);
        running_attempts_[execution.order_.attempt_] = *key;
        deadlines_.set(
            *key, execution.deadline_ + limits_.answer_grace_period_);
        sink_.start(execution.order_, upstream_, left);
    }
}

template <class Sink>
std::optional<running_parent>
upstream_guard<Sink>::find_running_execution(attempt_id const& attempt) const
{
    auto const found = running_attempts_.find(attempt);
    if (found == running_attempts_.end())
        return std::nullopt;
    execute_order const& order = executions_.at(found->second)->order_;
    return running_parent{
        .key_ = found->second,
        .priority_ = order.priority_,
        .urgency_ = order.urgency_,
        .weight_ = order.weight_,
        .is_retry_ = order.is_retry_};
}

template <class Sink>
void upstream_guard<Sink>::on_call_ended(
    execution_key parent,
    std::vector<service_pressure> const& pressures,
    bool failed)
{
    constexpr std::size_t max_services = 16;
    auto const found = executions_.find(parent);
    if (found == executions_.end())
        return;
    found->second->call_failed_ |= failed;
    std::vector<service_pressure>& known_pressures =
        found->second->service_pressures_;
    for (service_pressure const& pressure : pressures)
    {
        auto const known = std::find_if(
            known_pressures.begin(),
            known_pressures.end(),
            [&](service_pressure const& each)
            { return each.service_ == pressure.service_; });
        if (known != known_pressures.end())
            known->pressure_permille_ = pressure.pressure_permille_;
        else if (known_pressures.size() < max_services)
            known_pressures.push_back(pressure);
    }
}

template <class Sink>
void upstream_guard<Sink>::return_waiting_orders(
    verdict_reason reason, absl::Time now)
{
    while (auto const key = waiting_orders_.front())
        finish_execution(
            *key, execution_verdict::not_run, reason, false, nullptr, now);
}

template <class Sink>
void upstream_guard<Sink>::on_cancel(cancel_order const& cancel, absl::Time now)
{
    auto const found = executions_.find(cancel.key_);
    if (found == executions_.end())
    {
        close_key(cancel.key_, now);
        return;
    }
    guarded_execution& execution = *found->second;
    bool const may_have_run =
        execution.is_running_ && !sink_.withdraw(cancel.key_);
    // An unrepeatable execution that runs is not aborted: its effects are
    // needed even if the caller has disconnected.
    if (may_have_run && !is_repeatable(execution.order_.kind_))
        return;
    if (may_have_run)
        sink_.abort(cancel.key_);
    finish_execution(
        cancel.key_,
        may_have_run ? execution_verdict::timed_out
                     : execution_verdict::not_run,
        verdict_reason::client_left,
        may_have_run,
        nullptr,
        now);
    start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::update_capacity(absl::Time now)
{
    constexpr absl::Duration interval = absl::Milliseconds(20);
    if (now < capacity_update_due_)
        return;
    capacity_update_due_ = now + interval;
    capacity_estimate_.update(
        upstream_.slots_,
        static_cast<std::uint32_t>(running_executions_),
        static_cast<std::uint32_t>(waiting_orders_.size()),
        run_time_.mean(slowdown_factor_),
        demand_estimate_.total_per_second(now),
        now);
}

template <class Sink>
void upstream_guard<Sink>::update_failed_ratio(bool failed)
{
    // Weight of the newest outcome in the mean. Outcomes older than about the
    // last 20 hardly affect the mean.
    constexpr double newest_weight = 0.05;
    failed_ratio_ += newest_weight * ((failed ? 1.0 : 0.0) - failed_ratio_);
}

template <class Sink>
void upstream_guard<Sink>::on_answer(
    execution_key key, upstream_answer const& answer, absl::Time now)
{
    auto const found = executions_.find(key);
    if (found == executions_.end() || !found->second->is_running_)
        return;
    if (answer.slowdown_factor_)
        slowdown_factor_ = *answer.slowdown_factor_;
    learn_from_answer(*found->second, answer, now);
    bool const not_run = answer.not_run_ || answer.misdirected_;
    if (not_run)
    {
        update_failed_ratio(true);
        finish_execution(
            key,
            execution_verdict::not_run,
            verdict_reason::rejected,
            !answer.misdirected_,
            nullptr,
            now);
    }
    else if (answer.has_content_encoding_ || !answer.has_signature_)
    {
        update_failed_ratio(true);
        finish_execution(
            key,
            execution_verdict::unknown,
            verdict_reason::garbled,
            true,
            nullptr,
            now);
    }
    else
    {
        // A failed request does not count against this upstream when a call
        // made for that request failed.
        update_failed_ratio(
            answer.status_ >= 500 && answer.status_ != 504 &&
            !found->second->call_failed_);
        run_time_.add(now - found->second->started_at_, slowdown_factor_);
        horizon_.observe(
            found->second->order_.route_, now - found->second->arrived_at_);
        finish_execution(
            key,
            execution_verdict::answered,
            verdict_reason::none,
            true,
            &answer,
            now);
    }
    start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::on_failure(
    execution_key key, upstream_failure failure, absl::Time now)
{
    auto const found = executions_.find(key);
    if (found == executions_.end() || !found->second->is_running_)
        return;
    switch (failure)
    {
    case upstream_failure::refused:
        on_connection_refused(now);
        finish_execution(
            key,
            execution_verdict::not_run,
            verdict_reason::no_upstream,
            false,
            nullptr,
            now);
        break;
    case upstream_failure::connection_lost:
        probe_for_crash(now);
        update_failed_ratio(true);
        finish_execution(
            key,
            execution_verdict::unknown,
            verdict_reason::connection_lost,
            true,
            nullptr,
            now);
        break;
    case upstream_failure::garbled:
        update_failed_ratio(true);
        finish_execution(
            key,
            execution_verdict::unknown,
            verdict_reason::garbled,
            true,
            nullptr,
            now);
        break;
    }
    start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::on_connection_refused(absl::Time now)
{
    upstream_refuses_connections_ = true;
    next_probe_time_ = now + limits_.probe_interval_;
    return_waiting_orders(verdict_reason::no_upstream, now);
}

template <class Sink>
void upstream_guard<Sink>::probe_for_crash(absl::Time now)
{
    // An upstream that is leaving ends with the requests that it still runs.
    if (upstream_.phase_ != upstream_phase::ready ||
        upstream_refuses_connections_)
        return;
    crash_probes_end_ = now + limits_.crash_probe_duration_;
    next_probe_time_ =
        std::min(next_probe_time_, now + limits_.crash_probe_interval_);
}

template <class Sink>
void upstream_guard<Sink>::on_probe(bool reached, absl::Time now)
{
    if (!reached)
    {
        on_connection_refused(now);
        return;
    }
    if (!upstream_refuses_connections_)
    {
        if (now < crash_probes_end_)
            next_probe_time_ = now + limits_.crash_probe_interval_;
        return;
    }
    upstream_refuses_connections_ = false;
    next_probe_time_ = absl::InfiniteFuture();
    start_waiting_orders(now);
}

template <class Sink>
void upstream_guard<Sink>::tick(absl::Time now)
{
    while (auto const key = deadlines_.pop_due(now))
    {
        guarded_execution& execution = *executions_.at(*key);
        // The entry may send the request to another guard while there is time.
        bool const cut_by_stop =
            execution.deadline_ <
            execution.arrived_at_ + execution.order_.remaining_time_;
        if (execution.is_running_ && !sink_.withdraw(*key))
        {
            sink_.abort(*key);
            run_time_.add(now - execution.started_at_, slowdown_factor_);
            finish_execution(
                *key,
                cut_by_stop ? execution_verdict::unknown
                            : execution_verdict::timed_out,
                cut_by_stop ? verdict_reason::daemon_stopping
                            : verdict_reason::upstream_timeout,
                true,
                nullptr,
                now);
        }
        else
            finish_execution(
                *key,
                execution_verdict::not_run,
                cut_by_stop ? verdict_reason::daemon_stopping
                            : verdict_reason::expired,
                false,
                nullptr,
                now);
    }
    if (next_probe_time_ <= now)
    {
        next_probe_time_ = absl::InfiniteFuture();
        sink_.probe_upstream();
    }
    evict_expired(now);
    update_capacity(now);
    start_waiting_orders(now);
}

template <class Sink>
load_report upstream_guard<Sink>::load(absl::Time now) const
{
    rate_limit const limit = pacer_.limit();
    std::uint32_t const capacity_per_ks = capacity_estimate_.capacity_per_ks();
    return {
        .running_executions_ = static_cast<std::uint32_t>(running_executions_),
        .queued_executions_ =
            static_cast<std::uint32_t>(waiting_orders_.size()),
        .slots_ = upstream_.slots_,
        .run_time_us_ = static_cast<std::uint32_t>(
            absl::ToInt64Microseconds(run_time_.mean(slowdown_factor_))),
        .failed_permille_ = static_cast<std::uint32_t>(failed_ratio_ * 1000),
        .capacity_per_ks_ =
            limit.is_limited() && capacity_per_ks > 0
                ? std::min(capacity_per_ks, limit.requests_per_ks_)
                : capacity_per_ks,
        .demand_per_ks_ = demand_estimate_.rates_per_ks(now),
        .rate_limit_ = limit,
        .accepts_work_ = is_open()};
}

template <class Sink>
void upstream_guard<Sink>::refuse_order(
    execute_order const& order, verdict_reason reason, absl::Time now)
{
    // The key is closed, so that a delayed copy of an unrepeatable order is not
    // started after the entry was told that the request has not run.
    if (!is_repeatable(order.kind_))
        close_key(order.key_, now);
    absl::Duration const wait =
        expected_wait(dispatch_order::dispatch_priority(order), now);
    sink_.record_decision(
        {.event_ = "guard_refused",
         .attempt_ = order.attempt_.value(),
         .reason_ = reason,
         .service_ = order.service_.value(),
         .exchange_ = order.key_.exchange_number_,
         .running_executions_ = static_cast<std::int64_t>(running_executions_),
         .queued_executions_ =
             static_cast<std::int64_t>(waiting_orders_.size()),
         .slots_ = upstream_.slots_,
         .remaining_ms_ = absl::ToInt64Milliseconds(order.remaining_time_),
         .wait_ms_ = absl::ToInt64Milliseconds(wait)});
    sink_.reply(
        {.key_ = order.key_,
         .verdict_ = execution_verdict::not_run,
         .reason_ = reason,
         .retry_after_ = wait,
         .load_ = load(now)});
}

} // namespace samphire
