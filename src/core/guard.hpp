#pragma once

#include "admission/admission_level_table.hpp"
#include "admission/request_priority.hpp"
#include "base/deadline_queue.hpp"
#include "base/hashing.hpp"
#include "core/accepted_execution.hpp"
#include "core/configuration.hpp"
#include "core/core_context.hpp"
#include "core/event.hpp"
#include "core/policies.hpp"
#include "execution/departed_records.hpp"
#include "execution/split_into_transfers.hpp"
#include "membership/membership.hpp"
#include "messages/crash_suspects.hpp"
#include "quarantine/crash_detector.hpp"
#include "quarantine/suspect_notices.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

namespace samphire
{

/// Decides which requests the local upstream runs, and when: applies the
/// concurrency limit, the queue, the execution records, the quarantine and the
/// drain.
template <policies Policies>
class guard
{
public:
    guard(
        core_context& context,
        configuration<Policies>& config,
        membership& members)
        : context_(context), config_(config), members_(members),
          admission_(context.settings().queue_capacity_),
          child_levels_by_route_(max_observed_routes),
          registry_(context.self().incarnation_, context.settings().registry_),
          // Starts at a random number, so that a late call that names an
          // execution of an earlier process finds no parent execution.
          next_execution_id_((context.random()() >> 16) + 1)
    {
    }

    void
    on(peer_identity const& from,
       execute_request const& request,
       absl::Time now);
    void
    on(peer_identity const& from,
       cancel_request const& request,
       absl::Time now);
    void
    on(peer_identity const& from, ticket_query const& query, absl::Time now);
    void
    on(peer_identity const& from,
       crash_suspects const& message,
       absl::Time now);
    void
    on(peer_identity const& from,
       record_transfer const& transfer,
       absl::Time now);
    /// Handles the reply to the ticket_query that ends the hand-over of the
    /// execution records. Returns false when the reply belongs to another
    /// query.
    bool
    on(peer_identity const& from, ticket_reply const& reply, absl::Time now);
    void on(peer_unreachable const& event, absl::Time now);
    void on(upstream_announced const& event, absl::Time now);
    void on(upstream_answered const& event, absl::Time now);
    void on(upstream_failed const& event, absl::Time now);

    /// Tells the daemons of the domain that this guard is leaving, and refuses
    /// the queued requests. Policies::drain decides whether new requests are
    /// refused.
    void leave(absl::Time now);
    /// Continues the hand-over of the execution records to a peer of the
    /// domain. Returns true when the hand-over has ended, with or without a
    /// successor. To be called once no request is in flight.
    bool continue_hand_over(absl::Time now);

    /// Returns the address of the daemon that holds the execution records of
    /// this guard after the hand-over; empty when no peer received all records.
    endpoint successor() const
    {
        return successor_;
    }

    /// Returns whether this daemon suspects the request of crashing upstreams,
    /// and whether the request is quarantined.
    suspicion assess(fingerprint request, absl::Time now) const
    {
        return quarantine_.assess(request, now);
    }

    /// Merges a report about a suspect request. A report with zero crashes
    /// clears the suspicion.
    void merge_suspect(crash_suspect const& suspect, absl::Time now)
    {
        quarantine_.merge(suspect, now);
    }

    /// Returns the suspect and quarantined requests, to be reported to other
    /// failure domains.
    std::vector<crash_suspect> suspects(absl::Time now) const
    {
        return quarantine_.suspects(now);
    }

    void tick(absl::Time now);
    absl::Time next_deadline() const;

    /// Returns the execution with this id, on whose behalf the upstream makes a
    /// call; null when there is none.
    accepted_execution* find_execution(execution_id id);

    bool leaving() const
    {
        return leaving_;
    }

    /// Returns the number of accepted requests that have no answer yet.
    std::size_t unanswered_count() const
    {
        return executions_.size();
    }

    typename Policies::execution& registry()
    {
        return registry_;
    }

    typename Policies::admission const& admission() const
    {
        return admission_;
    }

private:
    static constexpr std::size_t max_observed_routes = 1024;

    using execution_map =
        absl::flat_hash_map<execution_id, std::unique_ptr<accepted_execution>>;

    bool answer_from_record(
        reply_address const& origin,
        execute_request const& request,
        absl::Time now);
    admission_level
    route_level(execute_request const& request, absl::Time now) const;
    outcome_reason
    refusal_reason(accepted_execution const& execution, absl::Time now);
    void enqueue_request(
        execution_id id, accepted_execution const& execution, absl::Time now);
    void start_admitted_requests(absl::Time now);
    void start_execution(execution_id id, absl::Time now);
    void shed_request(shed_execution const& decision, absl::Time now);
    ticket_lookup_result
    find_departed_record(execution_ticket const& ticket) const;
    void withdraw_waiting_requests(endpoint entry, absl::Time now);
    void shed_expired_requests(absl::Time now);
    void refuse_queued_requests(outcome_reason reason, absl::Time now);
    void check_for_crash(absl::Time now);
    void finish_lost_executions(outcome_reason reason, absl::Time now);
    void withdraw_upstream(absl::Time now);
    std::size_t started_execution_count() const;
    bool send_records(absl::Time now);
    void close_record(accepted_execution const& execution, absl::Time now);
    void broadcast_suspects(crash_suspects const& message);
    void finish_execution(
        execution_id id,
        call_outcome outcome,
        outcome_reason reason,
        std::uint16_t status,
        payload const& body,
        absl::Time now);
    void reply(
        reply_address const& to,
        call_outcome outcome,
        outcome_reason reason,
        std::uint16_t status,
        payload const& body,
        std::uint32_t attempts_left,
        admission_level highest_child_level,
        absl::Time now);
    void refuse(
        reply_address const& to,
        outcome_reason reason,
        std::uint32_t attempts_left,
        absl::Time now);

    core_context& context_;
    configuration<Policies>& config_;
    membership& members_;
    typename Policies::admission admission_;
    /// Highest admission levels among the replies to the calls that executions
    /// made, by the route of the execution.
    admission_level_table child_levels_by_route_;
    typename Policies::execution registry_;
    typename Policies::quarantine quarantine_;
    typename Policies::drain drain_;
    std::optional<endpoint> upstream_;
    absl::Time announcement_expires_at_{absl::InfinitePast()};
    bool leaving_{};
    crash_detector crash_detector_;
    suspect_notices suspect_notices_;
    departed_records departed_records_;
    std::optional<absl::Time> hand_over_deadline_;
    bool hand_over_ended_{};
    endpoint successor_{};
    execution_id next_execution_id_;
    execution_map executions_;
    /// Deadlines of the accepted requests that have not started.
    deadline_queue<execution_id> queue_deadlines_;
    absl::flat_hash_map<reply_address, execution_id> execution_by_address_;
    absl::flat_hash_map<request_id, execution_id> execution_by_nonce_;
};

} // namespace samphire

#include "core/guard.ipp"
