#pragma once

#include "base/monotonic_clock.hpp"
#include "core/action.hpp"
#include "core/event.hpp"
#include "daemon/decision_outputs.hpp"
#include "daemon/event_ring.hpp"
#include "daemon/status_page.hpp"

#include <algorithm>
#include <deque>
#include <string>

namespace samphire
{

/// Duty "decisions": passes events to the decision object and its actions to
/// the other duties. It never waits for another duty, so that two full rings
/// cannot block each other.
template <class Core>
class decision_loop
{
public:
    decision_loop(Core& core, event_ring& events, decision_outputs outputs)
        : core_(core), events_(events), out_(outputs)
    {
    }

    /// Runs until the decision object has finished its shutdown.
    void run()
    {
        while (!finished_)
        {
            handle(next_event());
            refresh_status();
        }
    }

private:
    static constexpr absl::Duration longest_wait = absl::Seconds(1);
    static constexpr absl::Duration status_interval = absl::Milliseconds(250);

    event next_event()
    {
        if (!refused_.empty())
        {
            event const next = refused_.front();
            refused_.pop_front();
            return next;
        }
        absl::Duration const wait = std::clamp(
            core_.next_deadline() - clock_.now(),
            absl::ZeroDuration(),
            longest_wait);
        auto const next = events_.pop(wait);
        return next ? *next : event(timer_elapsed{});
    }

    void handle(event const& happened)
    {
        absl::Time const now = clock_.now();
        for (action const& decided : core_.handle(happened, now))
            std::visit(
                [&](auto const& value) { carry_out(value, now); }, decided);
    }

    void carry_out(answer_caller const& value, absl::Time)
    {
        out_.callers_.answer(value);
        out_.state_.metrics().add(
            "calls_total{outcome=\"" + std::to_string(int(value.outcome_)) +
            "\",reason=\"" + std::string(reason_text(value.reason_)) + "\"}");
    }

    void carry_out(send_to_peer const& value, absl::Time)
    {
        if (!out_.peers_.send({value.peer_, value.message_}))
            refused_.push_back(peer_unreachable{value.peer_, false});
    }

    void carry_out(send_datagram const& value, absl::Time)
    {
        out_.datagrams_.send({value.peer_, value.message_});
    }

    void carry_out(start_at_upstream const& value, absl::Time)
    {
        if (!out_.upstream_.start(value))
            refused_.push_back(
                upstream_failed{value.execution_, upstream_failure::refused});
    }

    void carry_out(cancel_at_upstream const& value, absl::Time)
    {
        out_.upstream_.cancel(value);
    }

    void carry_out(call_platform const& value, absl::Time)
    {
        if (!out_.platform_.call(value.operation_, value.request_))
            refused_.push_back(platform_replied{
                value.operation_, {.status_ = platform_status::refused}});
    }

    void carry_out(emit_log const& value, absl::Time now)
    {
        out_.telemetry_.report({now, value.event_});
    }

    void carry_out(emit_span const& value, absl::Time now)
    {
        out_.state_.metrics().record(
            "hop_seconds{role=\"" +
                value.span_.name_.substr(0, value.span_.name_.find(' ')) +
                "\"}",
            absl::ToDoubleSeconds(value.span_.end_ - value.span_.start_));
        out_.telemetry_.report({now, value.span_});
    }

    void carry_out(readiness_changed const& value, absl::Time)
    {
        out_.state_.set_ready(value.ready_, value.reason_);
    }

    void carry_out(shutdown_finished const&, absl::Time)
    {
        finished_ = true;
    }

    void refresh_status()
    {
        absl::Time const now = clock_.now();
        if (now < next_status_)
            return;
        next_status_ = now + status_interval;
        out_.state_.set_status(write_status_page(core_));
    }

    Core& core_;
    event_ring& events_;
    decision_outputs const out_;
    monotonic_clock const clock_;
    /// Events that stand for actions which a duty had no room for.
    std::deque<event> refused_;
    absl::Time next_status_{absl::InfinitePast()};
    bool finished_{};
};

} // namespace samphire
