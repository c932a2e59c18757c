#pragma once

#include "base/monotonic_clock.hpp"
#include "core/action.hpp"
#include "core/event.hpp"
#include "daemon/event_ring.hpp"
#include "daemon/output_duties.hpp"
#include "daemon/status_page.hpp"

#include <algorithm>
#include <deque>
#include <string>

namespace samphire
{

/// Passes events to daemon_core and the resulting actions to the other duties,
/// on the duty thread "decisions". The loop never waits for another duty, so
/// that two duties with full rings cannot block each other.
template <class Core>
class decision_loop
{
public:
    decision_loop(Core& core, event_ring& events, output_duties duties)
        : core_(core), events_(events), duties_(duties)
    {
    }

    /// Runs until daemon_core has finished its shutdown.
    void run()
    {
        while (!shutdown_finished_)
        {
            handle(next_event());
            answer_status_requests();
        }
    }

private:
    static constexpr absl::Duration max_wait = absl::Seconds(1);

    event next_event()
    {
        if (!failure_events_.empty())
        {
            event const next = failure_events_.front();
            failure_events_.pop_front();
            return next;
        }
        absl::Duration const wait = std::clamp(
            core_.next_deadline() - clock_.now(),
            absl::ZeroDuration(),
            max_wait);
        auto const next = events_.pop(wait);
        return next ? *next : event(timer_elapsed{});
    }

    void handle(event const& input)
    {
        absl::Time const now = clock_.now();
        for (action const& output : core_.handle(input, now))
            std::visit(
                [&](auto const& value) { carry_out(value, now); }, output);
    }

    void carry_out(answer_caller const& value, absl::Time)
    {
        duties_.callers_.answer(value);
        duties_.state_.metrics().add(
            "calls_total{outcome=\"" + std::to_string(int(value.outcome_)) +
            "\",reason=\"" + std::string(reason_text(value.reason_)) + "\"}");
    }

    void carry_out(send_to_peer const& value, absl::Time)
    {
        if (!duties_.peers_.send({value.peer_, value.message_}))
            failure_events_.push_back(peer_unreachable{value.peer_, false});
    }

    void carry_out(send_datagram const& value, absl::Time)
    {
        duties_.datagrams_.send({value.peer_, value.message_});
    }

    void carry_out(start_at_upstream const& value, absl::Time)
    {
        if (!duties_.upstream_.start(value))
            failure_events_.push_back(
                upstream_failed{value.execution_, upstream_failure::refused});
    }

    void carry_out(cancel_at_upstream const& value, absl::Time)
    {
        duties_.upstream_.cancel(value);
    }

    void carry_out(call_platform const& value, absl::Time)
    {
        if (!duties_.platform_.call(value.operation_, value.request_))
            failure_events_.push_back(platform_replied{
                value.operation_, {.status_ = platform_status::refused}});
    }

    void carry_out(emit_log const& value, absl::Time now)
    {
        duties_.telemetry_.report({now, value.event_});
    }

    void carry_out(emit_span const& value, absl::Time now)
    {
        duties_.state_.metrics().record_in_distribution(
            "hop_seconds{role=\"" +
                value.span_.name_.substr(0, value.span_.name_.find(' ')) +
                "\"}",
            absl::ToDoubleSeconds(value.span_.end_ - value.span_.start_));
        duties_.telemetry_.report({now, value.span_});
    }

    void carry_out(readiness_changed const& value, absl::Time)
    {
        duties_.state_.set_ready(value.ready_, value.reason_);
    }

    void carry_out(shutdown_finished const&, absl::Time)
    {
        shutdown_finished_ = true;
    }

    /// Answers the queued GET /status requests. Formatting the page takes 7 us
    /// per member, so the page is formatted only when a request asks for it.
    void answer_status_requests()
    {
        while (auto const token = duties_.state_.status_requests().try_pop())
            duties_.callers_.answer_status(*token, write_status_page(core_));
    }

    Core& core_;
    event_ring& events_;
    output_duties const duties_;
    monotonic_clock const clock_;
    /// Failure events for actions that a duty did not accept, because its ring
    /// was full or because no platform is configured.
    std::deque<event> failure_events_;
    bool shutdown_finished_{};
};

} // namespace samphire
