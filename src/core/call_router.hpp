#pragma once

#include "admission/admission_level_table.hpp"
#include "admission/request_priority.hpp"
#include "base/deadline_queue.hpp"
#include "core/configuration.hpp"
#include "core/core_context.hpp"
#include "core/event.hpp"
#include "core/guard.hpp"
#include "core/leaving_peers.hpp"
#include "core/pending_call.hpp"
#include "core/platform_operations.hpp"
#include "core/policies.hpp"
#include "execution/child_nonce.hpp"
#include "execution/key_binder.hpp"
#include "execution/key_identity.hpp"
#include "membership/membership.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>

namespace samphire
{

/// Handles the calls of callers and of the local upstream: selects a guard for
/// each call, retries within the retry budget and gives each call exactly one
/// answer.
template <policies Policies>
class call_router
{
public:
    call_router(
        core_context& context,
        platform_operations& operations,
        configuration<Policies>& config,
        membership& members,
        guard<Policies>& local_guard);

    void on(call_received const& call, absl::Time now);
    void on(caller_disconnected const& event, absl::Time now);
    void
    on(peer_identity const& from, execute_reply const& reply, absl::Time now);
    void
    on(peer_identity const& from, ticket_reply const& reply, absl::Time now);
    void on(peer_unreachable const& event, absl::Time now);
    /// Handles the result of a platform call that key_binder started.
    void on(platform_replied const& event, absl::Time now);

    /// Makes the router refuse new calls of callers. Calls of the local
    /// upstream are still accepted, because the requests that the upstream is
    /// running depend on them.
    void stop()
    {
        stopping_ = true;
    }

    void tick(absl::Time now);
    absl::Time next_deadline() const;

    /// Returns the number of pending calls. Calls that joined a pending call
    /// are not counted.
    std::size_t unanswered_count() const
    {
        return calls_.size();
    }

private:
    using call_map =
        absl::flat_hash_map<call_id, std::unique_ptr<pending_call>>;

    call_context make_context(
        call_received const& call, accepted_execution* parent, absl::Time now);
    outcome_reason refusal_reason(
        pending_call const& call, accepted_execution* parent, absl::Time now);
    bool join_pending_call(call_received const& call, absl::Time now);
    void start_call(pending_call& call, absl::Time now);
    bool bind_key(
        pending_call& call,
        std::optional<execution_ticket> const& closed_ticket,
        absl::Time now);
    bool rebind_key(
        pending_call& call,
        execution_ticket const& closed_ticket,
        absl::Time now);
    void on_binding_result(
        pending_call& call, binding_result const& result, absl::Time);
    void on_shard_result(
        std::size_t shard, platform_result const& result, absl::Time now);
    void start_platform_calls(absl::Time now);
    std::optional<execution_ticket>
    new_ticket(pending_call& call, absl::Time now);
    request_id new_nonce(pending_call& call);
    void send_to_record_holder(pending_call& call, absl::Time now);
    endpoint record_holder_endpoint(execution_ticket const& ticket) const;
    void record_crash_report(
        pending_call const& call, outcome_reason reason, absl::Time);
    void report_suspect(pending_call const& call, endpoint peer, absl::Time);
    bool reserve_attempt(pending_call& call, absl::Time now);
    bool send_to_new_guard(pending_call& call, absl::Time now);
    void send_attempt(
        pending_call& call,
        endpoint peer,
        bool ticket_not_sent_before,
        absl::Time now);
    bool retry_call(pending_call& call, absl::Time now);
    void query_ticket(pending_call& call, endpoint holder, absl::Time now);
    void query_ticket_or_answer_unknown(pending_call& call, absl::Time now);
    void
    on_not_run(pending_call& call, execute_reply const& reply, absl::Time now);
    void on_unknown(pending_call& call, outcome_reason reason, absl::Time now);
    void on_attempt_lost(pending_call& call, bool undelivered, absl::Time now);
    bool cancel_one_of_shared_callers(call_id caller);
    void on_timer(pending_call& call, absl::Time now);
    void schedule_timer(pending_call const& call);
    void answer_call(
        pending_call& call,
        call_outcome outcome,
        outcome_reason reason,
        std::uint16_t status,
        payload const& body,
        absl::Time now);
    pending_call* find_exchange(exchange_id exchange);

    core_context& context_;
    platform_operations& operations_;
    configuration<Policies>& config_;
    membership& members_;
    guard<Policies>& guard_;
    typename Policies::selector selector_;
    typename Policies::retry retry_;
    admission_level_table observed_levels_;
    exchange_id next_exchange_;
    call_map calls_;
    absl::flat_hash_map<exchange_id, call_id> call_by_exchange_;
    deadline_queue<call_id> call_timers_;
    key_binder key_binder_;
    absl::flat_hash_map<operation_id, std::size_t> shard_of_operation_;
    bool stopping_{};
    leaving_peers leaving_peers_;
    /// Maps key_identity() of the idempotency key of a pending caller request
    /// to the id of the call.
    absl::flat_hash_map<request_id, call_id> call_by_key_;
    /// Maps each joined call to the pending call whose answer the joined call
    /// also gets.
    absl::flat_hash_map<call_id, call_id> pending_call_by_joined_call_;
};

} // namespace samphire

#include "core/call_router.ipp"
