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

/// All decisions of one daemon: events and the present time in, actions out.
/// Holds no socket, thread, clock, log or random device, so that it can be
/// driven from one thread in virtual time.
template <policies Policies>
class daemon_core
{
public:
    daemon_core(
        core_settings settings, daemon_identity self, std::uint64_t seed);
    daemon_core(daemon_core const&) = delete;
    daemon_core& operator=(daemon_core const&) = delete;

    /// Takes one event. `now` must not be before the time of an earlier call.
    action_list handle(event const& happened, absl::Time now);

    /// When to pass the next timer_elapsed.
    absl::Time next_deadline() const;

    /// Puts a document in force without the platform; false when the revision
    /// policy keeps the present one.
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

    /// Where a part makes its platform calls.
    platform_operations& operations()
    {
        return operations_;
    }

    /// Calls and executions that have no answer yet.
    std::size_t unanswered() const
    {
        return router_.unanswered() + guard_.unanswered() + held_.size();
    }

private:
    static constexpr std::size_t held_capacity = 256;

    void on(call_received const& value, absl::Time now);
    void on(caller_gone const& value, absl::Time now);
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
    void send(std::vector<outgoing_message> const& messages);
    void deliver_to_self(action_list& pending, absl::Time now);
    void finish_shutdown(absl::Time now);
    /// True for new work that arrives while revision and members are read
    /// again after a pause; it is kept for later.
    bool hold_work(event const& happened);
    void notice_pause(absl::Time now);
    void release_work(absl::Time now);

    core_context context_;
    platform_operations operations_;
    membership members_;
    summary_exchange summaries_;
    configuration<Policies> config_;
    guard<Policies> guard_;
    call_router<Policies> router_;
    /// New work that waits for the end of the reads after a pause.
    std::deque<event> held_;
    /// The announcement that waits for the first reads.
    std::optional<upstream_announced> announced_;
    absl::Time last_event_{absl::InfiniteFuture()};
    bool started_{};
    typename Policies::drain drain_;
    bool stopping_{};
    /// A stopping daemon refuses new work until then before it exits.
    absl::Time linger_until_{absl::InfiniteFuture()};
    bool lingered_{};
    bool stopped_{};
};

} // namespace samphire

#include "core/daemon_core.ipp"
