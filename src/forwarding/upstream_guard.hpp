#pragma once

#include "base/deadline_queue.hpp"
#include "forwarding/capacity_estimate.hpp"
#include "forwarding/demand_estimate.hpp"
#include "forwarding/guard_limits.hpp"
#include "forwarding/guard_sink.hpp"
#include "forwarding/guarded_execution.hpp"
#include "forwarding/load_report.hpp"
#include "forwarding/messages/cancel_order.hpp"
#include "forwarding/messages/execution_query.hpp"
#include "forwarding/run_time_estimate.hpp"
#include "forwarding/running_parent.hpp"
#include "forwarding/slot_queue.hpp"
#include "forwarding/start_pacer.hpp"
#include "forwarding/upstream_answer.hpp"
#include "forwarding/upstream_failure.hpp"
#include "forwarding/work_horizon.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace samphire
{

/// Controls all access to the upstream on its VM: runs at most as many requests
/// at a time as the upstream has slots, queues the rest by urgency, refuses
/// requests that cannot end in time, runs an unrepeatable request at most once,
/// and reports whether the request ran. Protects a full or slow upstream from
/// overload.
template <class Sink>
class upstream_guard
{
public:
    upstream_guard(guard_limits limits, Sink& sink)
        : limits_(limits), sink_(sink)
    {
        // The concept is checked here because `Sink` is still an incomplete
        // type where it declares its upstream_guard member.
        static_assert(guard_sink<Sink>);
    }

    /// Sets the record of the local upstream, as the heartbeats of that
    /// upstream describe it.
    void set_upstream(upstream_record const& record, absl::Time now);
    /// Returns the running execution of the attempt; empty when the upstream is
    /// not running the attempt.
    std::optional<running_parent>
    find_running_execution(attempt_id const& attempt) const;
    /// Called when a call made for the execution `parent` ended. `pressures`:
    /// pressures of the services that were called; `failed`: whether the call
    /// failed.
    void on_call_ended(
        execution_key parent,
        std::vector<service_pressure> const& pressures,
        bool failed);

    /// Accepts only orders that can end by `work_end`, and ends those that it
    /// accepts by then.
    void stop_by(absl::Time work_end)
    {
        horizon_.set(work_end);
    }

    /// Refuses new orders from now on, and returns the waiting requests to
    /// their entries unexecuted.
    void stop(absl::Time now);

    /// Tells the entries of all running executions that their outcome stays
    /// unknown, since the process is about to end.
    void end_all(absl::Time now);

    void on_order(execute_order order, absl::Time now);
    void on_cancel(cancel_order const& cancel, absl::Time now);
    void on_query(execution_query const& query, absl::Time now);
    /// Called when the connection to the daemon process with this incarnation
    /// ended.
    void on_entry_lost(std::uint64_t incarnation, absl::Time now);

    void
    on_answer(execution_key key, upstream_answer const& answer, absl::Time now);
    void
    on_failure(execution_key key, upstream_failure failure, absl::Time now);
    void on_probe(bool reached, absl::Time now);

    void tick(absl::Time now);

    absl::Time next_deadline() const;

    load_report load(absl::Time now) const;

    /// Returns the number of running executions.
    std::size_t running_executions() const
    {
        return running_executions_;
    }

    /// Returns the number of waiting and running executions.
    std::size_t unfinished_executions() const
    {
        return executions_.size();
    }

    upstream_record const& upstream() const
    {
        return upstream_;
    }

private:
    using execution_map =
        absl::flat_hash_map<execution_key, std::unique_ptr<guarded_execution>>;

    bool is_open() const
    {
        return upstream_.phase_ == upstream_phase::ready &&
               !upstream_refuses_connections_ && !stopping_;
    }

    absl::Duration expected_wait(std::int32_t priority, absl::Time now) const;
    verdict_reason
    refusal_reason(execute_order const& order, absl::Time now) const;
    /// Notes what the answer to the execution states about the upstream itself.
    void learn_from_answer(
        guarded_execution const& execution,
        upstream_answer const& answer,
        absl::Time now);
    void start_waiting_orders(absl::Time now);
    void return_waiting_orders(verdict_reason reason, absl::Time now);
    /// Closes the guard until a probe reaches the upstream.
    void on_connection_refused(absl::Time now);
    void probe_for_crash(absl::Time now);
    void refuse_order(
        execute_order const& order, verdict_reason reason, absl::Time now);
    execute_result result_of(
        guarded_execution const& execution,
        execution_verdict verdict,
        verdict_reason reason,
        bool reached,
        absl::Time now) const;
    void finish_execution(
        execution_key key,
        execution_verdict verdict,
        verdict_reason reason,
        bool reached,
        upstream_answer const* answer,
        absl::Time now);
    void retain_result(execute_result const& result, absl::Time now);
    void close_key(execution_key key, absl::Time now);
    void evict_expired(absl::Time now);
    void update_failed_ratio(bool failed);
    void update_capacity(absl::Time now);

    guard_limits const limits_;
    Sink& sink_;
    upstream_record upstream_;
    /// Time from which `upstream_` describes this process of the upstream.
    absl::Time upstream_since_{absl::InfinitePast()};
    start_pacer pacer_;
    /// Whether the upstream refused a connection and no probe has reached the
    /// upstream since. Reset when another process replaces the upstream.
    bool upstream_refuses_connections_{};
    bool stopping_{};
    work_horizon horizon_;
    absl::Time next_probe_time_{absl::InfiniteFuture()};
    /// Time until which the upstream is probed although it accepts connections.
    absl::Time crash_probes_end_{absl::InfinitePast()};
    execution_map executions_;
    absl::flat_hash_map<attempt_id, execution_key> running_attempts_;
    slot_queue waiting_orders_;
    deadline_queue<execution_key> deadlines_;
    std::size_t running_executions_{};
    std::uint64_t last_arrival_number_{};
    run_time_estimate run_time_;
    double slowdown_factor_{1};
    double failed_ratio_{};
    demand_estimate demand_estimate_;
    capacity_estimate capacity_estimate_;
    absl::Time capacity_update_due_{absl::InfinitePast()};
    /// Results of unrepeatable requests, for entries that lost their connection
    /// and query the outcome.
    absl::flat_hash_map<execution_key, execute_result> retained_results_;
    std::deque<std::pair<absl::Time, execution_key>> retained_keys_by_age_;
    std::size_t retained_bytes_{};
    /// Keys of requests that were refused, cancelled or queried before they
    /// started, with the time at which each key was closed. An order with a
    /// closed key is refused.
    absl::flat_hash_map<execution_key, absl::Time> closed_keys_;
    std::deque<std::pair<absl::Time, execution_key>> closed_keys_by_age_;
};

} // namespace samphire

#include "forwarding/upstream_guard.ipp"
#include "forwarding/upstream_guard_outcomes.ipp"
