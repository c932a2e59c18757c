#pragma once

#include "capacity/processor_time.hpp"
#include "capacity/sample_values.hpp"
#include "core/product_daemon_core.hpp"

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace samphire::bench
{

/// Connects two daemon_core objects in virtual time, an entry and a guard whose
/// upstream answers immediately, and measures the processor time of each core.
class core_pair
{
public:
    static constexpr std::size_t entry = 0;
    static constexpr std::size_t guard = 1;

    core_pair()
    {
        for (std::size_t n = 0; n < cores_.size(); ++n)
            cores_[n] = std::make_unique<product_daemon_core>(
                core_settings{
                    .call_capacity_ = 65536,
                    .queue_capacity_ = 65536,
                    .seeds_ = {sample_endpoint(entry)}},
                sample_identity(n),
                n + 1);
        for (unsigned n = 0; n < join_duration_ms; ++n)
            advance();
        processor_time_us_ = {};
    }

    /// Advances virtual time by one millisecond.
    void advance()
    {
        now_ += absl::Milliseconds(1);
        if (now_ >= next_announcement_)
        {
            next_announcement_ = now_ + absl::Seconds(1);
            pending_events_.emplace_back(
                guard,
                upstream_announced{
                    {.service_ = service_name("echo"),
                     .endpoint_ = sample_endpoint(99),
                     .slots_ = 65536}});
        }
        for (std::size_t n = 0; n < cores_.size(); ++n)
        {
            if (cores_[n]->next_deadline() <= now_)
                pending_events_.emplace_back(n, timer_elapsed{});
        }
        deliver_all();
    }

    /// Sends a call to the entry and delivers all messages that follow from it.
    void call()
    {
        pending_events_.emplace_back(
            entry,
            call_received{
                .call_ = call_id(++sent_calls_),
                .source_ = call_source::caller,
                .service_ = service_name("echo"),
                .route_ = route_name("run"),
                .timeout_ = absl::Seconds(60),
                .body_ = payload(std::string(64, 'b'))});
        deliver_all();
    }

    /// Makes the upstream leave all later requests unanswered.
    void withhold_answers()
    {
        is_withholding_answers_ = true;
    }

    std::size_t completed_answers() const
    {
        return completed_answers_;
    }

    std::size_t withheld_answers() const
    {
        return withheld_answers_;
    }

    /// Returns the processor time of a core in microseconds, excluding the time
    /// in which the two daemons discovered each other.
    double processor_time(std::size_t core) const
    {
        return processor_time_us_[core];
    }

private:
    static constexpr unsigned join_duration_ms = 10'000;

    void deliver_all()
    {
        while (!pending_events_.empty())
        {
            auto const [target, input] = std::move(pending_events_.front());
            pending_events_.pop_front();
            double const start = processor_microseconds();
            action_list const actions = cores_[target]->handle(input, now_);
            processor_time_us_[target] += processor_microseconds() - start;
            for (action const& output : actions)
                std::visit(
                    [&, from = target](auto const& value)
                    { carry_out(from, value); },
                    output);
        }
    }

    void send(std::size_t from, endpoint to, peer_message const& message)
    {
        for (std::size_t n = 0; n < cores_.size(); ++n)
        {
            if (sample_endpoint(n) == to)
                pending_events_.emplace_back(
                    n, peer_message_received{sample_peer(from), message});
        }
    }

    void carry_out(std::size_t from, send_to_peer const& value)
    {
        send(from, value.peer_, value.message_);
    }

    void carry_out(std::size_t from, send_datagram const& value)
    {
        send(from, value.peer_, value.message_);
    }

    void carry_out(std::size_t from, start_at_upstream const& value)
    {
        if (is_withholding_answers_)
            ++withheld_answers_;
        else
            pending_events_.emplace_back(
                from, upstream_answered{value.execution_, 200, value.body_});
    }

    void carry_out(std::size_t from, call_platform const& value)
    {
        if (value.request_.method_ == platform_method::get)
            pending_events_.emplace_back(
                from,
                platform_replied{
                    value.operation_, {.status_ = platform_status::absent}});
    }

    void carry_out(std::size_t, answer_caller const& value)
    {
        completed_answers_ += value.outcome_ == call_outcome::completed;
    }

    template <class Other>
    void carry_out(std::size_t, Other const&)
    {
    }

    std::array<std::unique_ptr<product_daemon_core>, 2> cores_;
    std::deque<std::pair<std::size_t, event>> pending_events_;
    std::array<double, 2> processor_time_us_{};
    absl::Time now_{absl::FromUnixSeconds(1'700'000'000)};
    absl::Time next_announcement_{absl::InfinitePast()};
    std::uint64_t sent_calls_{};
    std::size_t completed_answers_{};
    std::size_t withheld_answers_{};
    bool is_withholding_answers_{};
};

} // namespace samphire::bench
