#pragma once

#include <utility>
#include <vector>

// Member functions of upstream_guard that finish executions and retain their
// results for entries that query the outcome.

namespace samphire
{

template <class Sink>
void upstream_guard<Sink>::on_query(
    execution_query const& query, absl::Time now)
{
    if (auto const retained = retained_results_.find(query.key_);
        retained != retained_results_.end())
    {
        sink_.reply(retained->second);
        return;
    }
    auto const found = executions_.find(query.key_);
    if (found != executions_.end() && found->second->is_running_)
    {
        found->second->entry_connection_lost_ = false;
        return;
    }
    // The request has not started. Its key is closed, so that the request
    // cannot start after the entry was told that it has not run.
    close_key(query.key_, now);
    if (found != executions_.end())
    {
        finish_execution(
            query.key_,
            execution_verdict::not_run,
            verdict_reason::guard_lost,
            false,
            nullptr,
            now);
        return;
    }
    sink_.reply(
        {.key_ = query.key_,
         .verdict_ = execution_verdict::not_run,
         .reason_ = verdict_reason::guard_lost,
         .load_ = load(now)});
}

template <class Sink>
void upstream_guard<Sink>::on_entry_lost(
    std::uint64_t incarnation, absl::Time now)
{
    std::vector<execution_key> waiting;
    std::vector<execution_key> running_repeatable;
    for (auto const& [key, execution] : executions_)
    {
        if (key.incarnation_ != incarnation)
            continue;
        execution->entry_connection_lost_ = true;
        if (!execution->is_running_)
            waiting.push_back(key);
        // A repeatable execution is cancelled, since an entry that loses the
        // connection to this guard sends the request to another guard.
        else if (is_repeatable(execution->order_.kind_))
            running_repeatable.push_back(key);
    }
    // The entry cannot cancel a waiting order any more, so none is started.
    // Waiting orders are closed first: the cancelled executions free slots.
    for (execution_key const& key : waiting)
    {
        close_key(key, now);
        finish_execution(
            key,
            execution_verdict::not_run,
            verdict_reason::guard_lost,
            false,
            nullptr,
            now);
    }
    for (execution_key const& key : running_repeatable)
        on_cancel({key}, now);
}

template <class Sink>
execute_result upstream_guard<Sink>::result_of(
    guarded_execution const& execution,
    execution_verdict verdict,
    verdict_reason reason,
    bool reached_upstream,
    absl::Time now) const
{
    return {
        .key_ = execution.order_.key_,
        .verdict_ = verdict,
        .reason_ = reason,
        .reached_upstream_ = reached_upstream,
        .retry_after_ = expected_wait(
            dispatch_order::dispatch_priority(execution.order_), now),
        .load_ = load(now),
        .leaving_upstream_start_ms_ =
            upstream_.phase_ == upstream_phase::leaving
                ? upstream_.start_time_ms_
                : 0,
        .service_pressures_ = execution.service_pressures_};
}

template <class Sink>
void upstream_guard<Sink>::finish_execution(
    execution_key key,
    execution_verdict verdict,
    verdict_reason reason,
    bool reached_upstream,
    upstream_answer const* answer,
    absl::Time now)
{
    auto const node = executions_.extract(key);
    guarded_execution const& execution = *node.mapped();
    deadlines_.erase(key);
    if (execution.is_running_)
    {
        --running_executions_;
        running_attempts_.erase(execution.order_.attempt_);
    }
    else
        waiting_orders_.erase(execution.rank_);
    execute_result result =
        result_of(execution, verdict, reason, reached_upstream, now);
    if (answer)
    {
        result.status_ = answer->status_;
        result.headers_ = answer->headers_;
        result.body_ = answer->body_;
    }
    if (verdict != execution_verdict::answered)
        sink_.record_decision(
            {.event_ = "execution_failed",
             .attempt_ = execution.order_.attempt_.value(),
             .reason_ = reason,
             .service_ = execution.order_.service_.value(),
             .progress_ = execution.is_running_ ? "running" : "waiting",
             .exchange_ = key.exchange_number_,
             .running_executions_ =
                 static_cast<std::int64_t>(running_executions_),
             .queued_executions_ =
                 static_cast<std::int64_t>(waiting_orders_.size()),
             .slots_ = upstream_.slots_,
             .remaining_ms_ =
                 absl::ToInt64Milliseconds(execution.deadline_ - now),
             .wait_ms_ =
                 execution.is_running_
                     ? absl::ToInt64Milliseconds(
                           execution.started_at_ - execution.arrived_at_)
                     : absl::ToInt64Milliseconds(now - execution.arrived_at_)});
    // The reply may be lost with the connection to the entry, so the outcome of
    // an unrepeatable request is retained for a later query of the entry.
    if (!is_repeatable(execution.order_.kind_))
        retain_result(result, now);
    sink_.reply(result);
}

template <class Sink>
void upstream_guard<Sink>::retain_result(
    execute_result const& result, absl::Time now)
{
    retained_bytes_ += result.body_.size();
    retained_results_.insert_or_assign(result.key_, result);
    retained_keys_by_age_.emplace_back(now, result.key_);
    evict_expired(now);
}

template <class Sink>
void upstream_guard<Sink>::close_key(execution_key key, absl::Time now)
{
    closed_keys_.insert_or_assign(key, now);
    closed_keys_by_age_.emplace_back(now, key);
}

template <class Sink>
void upstream_guard<Sink>::evict_expired(absl::Time now)
{
    while (!retained_keys_by_age_.empty() &&
           retained_keys_by_age_.front().first + limits_.retention_period_ <=
               now)
    {
        auto const retained =
            retained_results_.find(retained_keys_by_age_.front().second);
        if (retained != retained_results_.end())
        {
            retained_bytes_ -= retained->second.body_.size();
            retained_results_.erase(retained);
        }
        retained_keys_by_age_.pop_front();
    }
    // A retained result whose body is dropped early stays retained with the
    // verdict `unknown`, so that no later query is told that the request has
    // not run.
    for (auto const& [at, key] : retained_keys_by_age_)
    {
        if (retained_bytes_ <= limits_.max_retained_bytes_)
            break;
        auto const retained = retained_results_.find(key);
        if (retained == retained_results_.end() ||
            retained->second.body_.size() == 0)
            continue;
        retained_bytes_ -= retained->second.body_.size();
        retained->second.verdict_ = execution_verdict::unknown;
        retained->second.reason_ = verdict_reason::memory;
        retained->second.body_ = {};
    }
    while (!closed_keys_by_age_.empty() &&
           closed_keys_by_age_.front().first + limits_.retention_period_ <= now)
    {
        closed_keys_.erase(closed_keys_by_age_.front().second);
        closed_keys_by_age_.pop_front();
    }
}

} // namespace samphire
