#pragma once

#include "admission/level_table.hpp"
#include "admission/request_priority.hpp"
#include "base/deadline_queue.hpp"
#include "base/hashing.hpp"
#include "core/accepted_execution.hpp"
#include "core/configuration.hpp"
#include "core/core_context.hpp"
#include "core/event.hpp"
#include "core/policies.hpp"
#include "membership/membership.hpp"
#include "messages/crash_suspects.hpp"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

namespace samphire
{

/// Stands before the own upstream: concurrency limit, queue, execution
/// records, drain.
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
          route_levels_(observed_routes),
          registry_(context.self().incarnation_, context.settings().registry_),
          // Numbers of an earlier process are not met again, so a late call
          // of its upstream finds no parent.
          next_id_((context.random()() >> 16) + 1)
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
    void on(upstream_announced const& event, absl::Time now);
    void on(upstream_answered const& event, absl::Time now);
    void on(upstream_failed const& event, absl::Time now);

    /// Refuses new work from now on.
    void leave(absl::Time now);
    void tick(absl::Time now);
    absl::Time next_deadline() const;

    /// The running execution whose upstream makes a call; null when unknown.
    accepted_execution* find(execution_id id);

    bool leaving() const
    {
        return leaving_;
    }

    /// Accepted requests that have no answer yet.
    std::size_t unanswered() const
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
    static constexpr std::size_t observed_routes = 1024;

    using execution_map =
        absl::flat_hash_map<execution_id, std::unique_ptr<accepted_execution>>;

    bool resolve_by_record(
        reply_address const& origin,
        execute_request const& request,
        absl::Time now);
    admission_level
    route_level(execute_request const& request, absl::Time now) const;
    outcome_reason refusal(accepted_execution const& execution, absl::Time now);
    void
    offer(execution_id id, accepted_execution const& execution, absl::Time now);
    void start_ready(absl::Time now);
    void start(execution_id id, absl::Time now);
    void shed(shed_execution const& decision, absl::Time now);
    void shed_expired(absl::Time now);
    void close_record(accepted_execution const& execution, absl::Time now);
    void record_crash(absl::Time now);
    void finish(
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
        admission_level child_level,
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
    /// Levels that the calls of each route met behind this guard.
    level_table route_levels_;
    typename Policies::execution registry_;
    typename Policies::quarantine quarantine_;
    typename Policies::drain drain_;
    std::optional<endpoint> upstream_;
    absl::Time announced_until_{absl::InfinitePast()};
    bool leaving_{};
    execution_id next_id_;
    execution_map executions_;
    /// Deadlines of the requests that have not started.
    deadline_queue<execution_id> queue_deadlines_;
    absl::flat_hash_map<reply_address, execution_id> by_address_;
    absl::flat_hash_map<request_id, execution_id> by_nonce_;
};

} // namespace samphire

#include "core/guard.ipp"
