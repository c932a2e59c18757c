#pragma once

#include "core/action.hpp"
#include "core/call_router.hpp"
#include "core/configuration.hpp"
#include "core/core_context.hpp"
#include "core/event.hpp"
#include "core/guard.hpp"
#include "core/platform_operations.hpp"
#include "core/policies.hpp"
#include "core/summary_exchange.hpp"
#include "membership/membership.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <utility>

namespace samphire
{

/// Makes all decisions of one daemon: handle() takes an event and the current
/// time and returns actions. The class owns no socket, thread, clock, log or
/// random device, so that one thread can drive it in virtual time.
template <policies Policies>
class daemon_core
{
public:
    daemon_core(
        core_settings settings, daemon_identity self, std::uint64_t seed);
    daemon_core(daemon_core const&) = delete;
    daemon_core& operator=(daemon_core const&) = delete;

    /// Handles one event and returns the actions that follow. `now` must not be
    /// before the time of an earlier call.
    action_list handle(event const& input, absl::Time now);

    /// Returns the time at which the next timer_elapsed event is due.
    absl::Time next_deadline() const;

    /// Puts a policy document in force that did not come from the platform.
    /// Returns false when Policies::revision rejects the revision of the
    /// document.
    bool offer_policy(
        std::shared_ptr<policy_document const> document, absl::Time now)
    {
        return config_.offer(std::move(document), now);
    }

    membership const& members() const
    {
        return members_;
    }

    policy_document const& policy() const
    {
        return config_.index().document();
    }

    platform_operations& operations()
    {
        return operations_;
    }

    /// Returns the number of calls and executions that have no answer yet,
    /// deferred events included.
    std::size_t unanswered_count() const
    {
        return router_.unanswered_count() + guard_.unanswered_count() +
               deferred_work_events_.size();
    }

private:
    static constexpr std::size_t deferred_capacity = 256;

    void on(call_received const& value, absl::Time now);
    void on(caller_disconnected const& value, absl::Time now);
    void on(peer_message_received const& value, absl::Time now);
    void on(peer_unreachable const& value, absl::Time now);
    void on(upstream_announced const& value, absl::Time now);
    void on(upstream_answered const& value, absl::Time now);
    void on(upstream_failed const& value, absl::Time now);
    void on(platform_replied const& value, absl::Time now);
    void on(drain_requested const& value, absl::Time now);
    void on(shutdown_requested const& value, absl::Time now);
    void on(timer_elapsed const& value, absl::Time now);

    void on_message(
        peer_identity const& from, peer_message const& message, absl::Time now);
    void tick(absl::Time now);
    void send_messages(std::vector<outgoing_message> const& messages);
    void deliver_to_self(action_list& self_messages, absl::Time now);
    void finish_shutdown(absl::Time now);
    /// Stores a new call or execute_request that arrives while the policy
    /// revision and the members are read again after a pause. Returns false
    /// when the event has to be handled at once.
    bool defer_if_new_work(event const& input);
    void detect_pause(absl::Time now);
    void handle_deferred_events(absl::Time now);

    core_context context_;
    platform_operations operations_;
    membership members_;
    summary_exchange summaries_;
    configuration<Policies> config_;
    guard<Policies> guard_;
    call_router<Policies> router_;
    /// Calls and execute_requests, deferred until the reads of the policy
    /// revision and the members after a pause have ended.
    std::deque<event> deferred_work_events_;
    /// Last announcement of the upstream, deferred until the policy revision
    /// was read after the start.
    std::optional<upstream_announced> deferred_announcement_;
    absl::Time last_event_at_{absl::InfiniteFuture()};
    bool first_revision_read_finished_{};
    typename Policies::drain drain_;
    bool stopping_{};
    /// A stopping daemon does not exit before this time, so that requests on
    /// their way to the daemon are refused instead of reaching a closed port.
    absl::Time shutdown_linger_ends_at_{absl::InfiniteFuture()};
    bool shutdown_linger_elapsed_{};
    bool shutdown_finished_emitted_{};
};

} // namespace samphire

#include "core/daemon_core.ipp"
