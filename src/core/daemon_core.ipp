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
action_list daemon_core<Policies>::handle(event const& happened, absl::Time now)
{
    notice_pause(now);
    if (!hold_work(happened))
        std::visit([&](auto const& value) { on(value, now); }, happened);
    tick(now);
    release_work(now);
    finish_shutdown(now);
    action_list result;
    action_list pending = context_.actions().take();
    while (!pending.empty())
    {
        action_list local;
        for (action& decided : pending)
        {
            auto const* const sent = std::get_if<send_to_peer>(&decided);
            bool const own = sent && sent->peer_ == context_.self().endpoint_;
            (own ? local : result).push_back(std::move(decided));
        }
        deliver_to_self(local, now);
        pending = context_.actions().take();
    }
    return result;
}

/// A process that was frozen first drops what expired meanwhile, then reads
/// the revision and the members again, then takes new work. Nothing depends on
/// noticing the pause: revisions and records only move forward, and tickets
/// decide what runs.
template <policies Policies>
void daemon_core<Policies>::notice_pause(absl::Time now)
{
    absl::Duration const pause = now - last_event_;
    last_event_ = now;
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
bool daemon_core<Policies>::hold_work(event const& happened)
{
    // A starting daemon holds no calls: callers wait for its readiness.
    if (!started_ || stopping_ || config_.settled() ||
        held_.size() >= held_capacity)
        return false;
    auto const* const message = std::get_if<peer_message_received>(&happened);
    bool const work =
        std::holds_alternative<call_received>(happened) ||
        (message && std::holds_alternative<execute_request>(message->message_));
    if (work)
        held_.push_back(happened);
    return work;
}

template <policies Policies>
void daemon_core<Policies>::release_work(absl::Time now)
{
    if (!config_.settled() && !stopping_)
        return;
    if (!std::exchange(started_, true) && announced_)
        guard_.on(*announced_, now);
    announced_.reset();
    std::deque<event> held;
    held.swap(held_);
    for (event const& happened : held)
        std::visit([&](auto const& value) { on(value, now); }, happened);
}

/// Messages to this daemon itself need no connection.
template <policies Policies>
void daemon_core<Policies>::deliver_to_self(
    action_list& pending, absl::Time now)
{
    daemon_identity const& self = context_.self();
    peer_identity const from{self.daemon_, self.incarnation_, self.endpoint_};
    for (action const& decided : pending)
        on_message(from, std::get<send_to_peer>(decided).message_, now);
    if (!pending.empty())
        finish_shutdown(now);
}

template <policies Policies>
absl::Time daemon_core<Policies>::next_deadline() const
{
    absl::Time const lingers = stopping_ && !stopped_ && !lingered_
                                   ? linger_until_
                                   : absl::InfiniteFuture();
    return std::min(
        {lingers,
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
void daemon_core<Policies>::on(caller_gone const& value, absl::Time now)
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
                // A refusal because of an old epoch brings the present one.
                members_.learn_epoch(from, value.epoch_, now);
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
                send(members_.on_ping(from, value, now));
            else if constexpr (std::is_same_v<type, membership_ack>)
                send(members_.on_ack(from, value, now));
            else if constexpr (std::is_same_v<type, indirect_ping>)
                send(members_.on_indirect_ping(from, value, now));
            else if constexpr (std::is_same_v<type, member_list_request>)
                send(members_.on_list_request(from, value, now));
            else if constexpr (std::is_same_v<type, member_list_reply>)
                members_.on_list_reply(from, value, now);
        },
        message);
}

template <policies Policies>
void daemon_core<Policies>::on(peer_unreachable const& value, absl::Time now)
{
    send(members_.on_unreachable(value.peer_, now));
    config_.on(value, now);
    guard_.on(value, now);
    router_.on(value, now);
}

template <policies Policies>
void daemon_core<Policies>::on(upstream_announced const& value, absl::Time now)
{
    // No work is offered before the highest known revision is in force.
    if (started_)
        guard_.on(value, now);
    else
        announced_.emplace(value);
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
    auto const part = operations_.finish(value.operation_);
    if (part == platform_part::configuration)
        config_.on(value, now);
    if (part == platform_part::summaries)
        summaries_.on(value, now);
    if (part == platform_part::key_bindings)
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
    linger_until_ = now + context_.settings().shutdown_linger_;
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
    lingered_ = stopping_ && now >= linger_until_;
    guard_.tick(now);
    router_.tick(now);
    config_.tick(now);
    summaries_.tick(now);
    send(members_.tick(now));
}

template <policies Policies>
void daemon_core<Policies>::send(std::vector<outgoing_message> const& messages)
{
    for (outgoing_message const& message : messages)
    {
        bool const list =
            std::holds_alternative<member_list_request>(message.message_) ||
            std::holds_alternative<member_list_reply>(message.message_);
        if (list)
            context_.emit(send_to_peer{message.to_, message.message_});
        else
            context_.emit(send_datagram{message.to_, message.message_});
    }
}

template <policies Policies>
void daemon_core<Policies>::finish_shutdown(absl::Time now)
{
    if (!stopping_ || stopped_)
        return;
    // Held work is in flight too. The linger refuses what is on its way here,
    // which would otherwise meet a closed port and end with outcome unknown.
    bool const idle =
        unanswered() == 0 && held_.empty() && now >= linger_until_;
    if (drain_.finishes_work() && (!idle || !guard_.hand_over(now)))
        return;
    stopped_ = true;
    send(members_.depart(guard_.successor(), now));
    context_.emit(shutdown_finished{});
}

} // namespace samphire
