#pragma once

#include <algorithm>
#include <type_traits>
#include <utility>

namespace samphire
{

template <policies Policies>
daemon_core<Policies>::daemon_core(
    core_settings settings, daemon_identity self, std::uint64_t seed)
    : context_(std::move(settings), std::move(self), seed),
      operations_(context_.actions()), members_(
                                           context_.self(),
                                           context_.settings().seeds_,
                                           random_source(context_.random()())),
      summaries_(context_, members_, operations_),
      config_(context_, members_, operations_),
      guard_(context_, config_, members_),
      router_(context_, operations_, config_, members_, guard_)
{
}

template <policies Policies>
action_list daemon_core<Policies>::handle(event const& input, absl::Time now)
{
    detect_pause(now);
    if (!defer_if_new_work(input))
        std::visit([&](auto const& value) { on(value, now); }, input);
    tick(now);
    handle_deferred_events(now);
    finish_shutdown(now);
    action_list result;
    action_list pending_actions = context_.actions().take_actions();
    while (!pending_actions.empty())
    {
        action_list self_messages;
        for (action& output : pending_actions)
        {
            auto const* const sent = std::get_if<send_to_peer>(&output);
            bool const to_self =
                sent && sent->peer_ == context_.self().endpoint_;
            (to_self ? self_messages : result).push_back(std::move(output));
        }
        deliver_to_self(self_messages, now);
        pending_actions = context_.actions().take_actions();
    }
    return result;
}

/// Detects a pause of the process. After a pause, ends the calls and executions
/// that expired and reads the policy revision and the members again; new work
/// is deferred until these reads have ended. Correctness does not depend on the
/// detection: policy revisions and member records only move forward, and
/// tickets prevent a second run of a request.
template <policies Policies>
void daemon_core<Policies>::detect_pause(absl::Time now)
{
    absl::Duration const pause = now - last_event_at_;
    last_event_at_ = now;
    if (pause <= context_.settings().pause_threshold_)
        return;
    guard_.tick(now);
    router_.tick(now);
    members_.resume(now);
    config_.resume(now);
    summaries_.resume();
    context_.log(
        log_level::warning,
        "core",
        "pause_noticed",
        {{"pause_ms", std::to_string(absl::ToInt64Milliseconds(pause))}});
}

template <policies Policies>
bool daemon_core<Policies>::defer_if_new_work(event const& input)
{
    // A starting daemon defers no calls, because callers wait until the daemon
    // is ready.
    if (!first_revision_read_finished_ || stopping_ ||
        config_.revision_read_finished() ||
        deferred_work_events_.size() >= deferred_capacity)
        return false;
    auto const* const message = std::get_if<peer_message_received>(&input);
    bool const is_new_work =
        std::holds_alternative<call_received>(input) ||
        (message && std::holds_alternative<execute_request>(message->message_));
    if (is_new_work)
        deferred_work_events_.push_back(input);
    return is_new_work;
}

template <policies Policies>
void daemon_core<Policies>::handle_deferred_events(absl::Time now)
{
    if (!config_.revision_read_finished() && !stopping_)
        return;
    if (!std::exchange(first_revision_read_finished_, true) &&
        deferred_announcement_)
        guard_.on(*deferred_announcement_, now);
    deferred_announcement_.reset();
    std::deque<event> deferred_events;
    deferred_events.swap(deferred_work_events_);
    for (event const& input : deferred_events)
        std::visit([&](auto const& value) { on(value, now); }, input);
}

/// Handles the messages that this daemon sent to itself; these messages need no
/// connection.
template <policies Policies>
void daemon_core<Policies>::deliver_to_self(
    action_list& self_messages, absl::Time now)
{
    daemon_identity const& self = context_.self();
    peer_identity const from{self.daemon_, self.incarnation_, self.endpoint_};
    for (action const& output : self_messages)
        on_message(from, std::get<send_to_peer>(output).message_, now);
    if (!self_messages.empty())
        finish_shutdown(now);
}

template <policies Policies>
absl::Time daemon_core<Policies>::next_deadline() const
{
    absl::Time const linger_deadline =
        stopping_ && !shutdown_finished_emitted_ && !shutdown_linger_elapsed_
            ? shutdown_linger_ends_at_
            : absl::InfiniteFuture();
    return std::min(
        {linger_deadline,
         members_.next_deadline(),
         config_.next_deadline(),
         summaries_.next_deadline(),
         guard_.next_deadline(),
         router_.next_deadline()});
}

template <policies Policies>
void daemon_core<Policies>::on(call_received const& value, absl::Time now)
{
    router_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(caller_disconnected const& value, absl::Time now)
{
    router_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(
    peer_message_received const& value, absl::Time now)
{
    on_message(value.from_, value.message_, now);
}

template <policies Policies>
void daemon_core<Policies>::on_message(
    peer_identity const& from, peer_message const& message, absl::Time now)
{
    std::visit(
        [&](auto const& value)
        {
            using type = std::decay_t<decltype(value)>;
            if constexpr (
                std::is_same_v<type, execute_request> ||
                std::is_same_v<type, cancel_request> ||
                std::is_same_v<type, ticket_query> ||
                std::is_same_v<type, crash_suspects>)
                guard_.on(from, value, now);
            else if constexpr (std::is_same_v<type, record_transfer>)
                guard_.on(from, value, now);
            else if constexpr (std::is_same_v<type, execute_reply>)
            {
                // A reply that refuses a ticket of an old epoch carries the
                // guard's current epoch.
                members_.update_guard_epoch(from, value.epoch_, now);
                router_.on(from, value, now);
            }
            else if constexpr (
                std::is_same_v<type, section_request> ||
                std::is_same_v<type, section_reply>)
                config_.on(from, value, now);
            else if constexpr (std::is_same_v<type, ticket_reply>)
            {
                if (!guard_.on(from, value, now))
                    router_.on(from, value, now);
            }
            else if constexpr (std::is_same_v<type, membership_ping>)
                send_messages(members_.on_ping(from, value, now));
            else if constexpr (std::is_same_v<type, membership_ack>)
                send_messages(members_.on_ack(from, value, now));
            else if constexpr (std::is_same_v<type, indirect_ping>)
                send_messages(members_.on_indirect_ping(from, value, now));
            else if constexpr (std::is_same_v<type, member_list_request>)
                send_messages(members_.on_list_request(from, value, now));
            else if constexpr (std::is_same_v<type, member_list_reply>)
                members_.on_list_reply(from, value, now);
        },
        message);
}

template <policies Policies>
void daemon_core<Policies>::on(peer_unreachable const& value, absl::Time now)
{
    send_messages(members_.on_peer_unreachable(value.peer_, now));
    config_.on(value, now);
    guard_.on(value, now);
    router_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(upstream_announced const& value, absl::Time now)
{
    // A starting daemon defers the announcement, because peers must not send
    // work before the highest known policy revision is in force here.
    if (first_revision_read_finished_)
        guard_.on(value, now);
    else
        deferred_announcement_.emplace(value);
}

template <policies Policies>
void daemon_core<Policies>::on(upstream_answered const& value, absl::Time now)
{
    guard_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(upstream_failed const& value, absl::Time now)
{
    guard_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(platform_replied const& value, absl::Time now)
{
    auto const owner = operations_.finish(value.operation_);
    if (owner == operation_owner::configuration)
        config_.on(value, now);
    if (owner == operation_owner::summaries)
        summaries_.on(value, now);
    if (owner == operation_owner::key_bindings)
        router_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(drain_requested const&, absl::Time now)
{
    guard_.leave(now);
}

template <policies Policies>
void daemon_core<Policies>::on(shutdown_requested const&, absl::Time now)
{
    if (stopping_)
        return;
    stopping_ = true;
    shutdown_linger_ends_at_ =
        now + context_.settings().shutdown_linger_duration_;
    config_.stop();
    router_.stop();
    guard_.leave(now);
    context_.emit(readiness_changed{false, "stopping"});
}

template <policies Policies>
void daemon_core<Policies>::on(timer_elapsed const&, absl::Time)
{
}

template <policies Policies>
void daemon_core<Policies>::tick(absl::Time now)
{
    shutdown_linger_elapsed_ = stopping_ && now >= shutdown_linger_ends_at_;
    guard_.tick(now);
    router_.tick(now);
    config_.tick(now);
    summaries_.tick(now);
    send_messages(members_.tick(now));
}

template <policies Policies>
void daemon_core<Policies>::send_messages(
    std::vector<outgoing_message> const& messages)
{
    for (outgoing_message const& message : messages)
    {
        bool const is_member_list =
            std::holds_alternative<member_list_request>(message.message_) ||
            std::holds_alternative<member_list_reply>(message.message_);
        if (is_member_list)
            context_.emit(send_to_peer{message.to_, message.message_});
        else
            context_.emit(send_datagram{message.to_, message.message_});
    }
}

template <policies Policies>
void daemon_core<Policies>::finish_shutdown(absl::Time now)
{
    if (!stopping_ || shutdown_finished_emitted_)
        return;
    // Deferred events count as work in flight. Until the linger time ends, the
    // daemon stays up to refuse requests that are on their way to it; otherwise
    // these requests would reach a closed port and end with outcome unknown.
    bool const work_and_linger_ended = unanswered_count() == 0 &&
                                       deferred_work_events_.empty() &&
                                       now >= shutdown_linger_ends_at_;
    if (drain_.waits_for_work_in_flight() &&
        (!work_and_linger_ended || !guard_.continue_hand_over(now)))
        return;
    shutdown_finished_emitted_ = true;
    send_messages(members_.announce_departure(guard_.successor(), now));
    context_.emit(shutdown_finished{});
}

} // namespace samphire
