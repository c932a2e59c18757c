#pragma once

#include "core/product_daemon_core.hpp"
#include "node_history.hpp"
#include "request_history.hpp"
#include "virtual_mesh.hpp"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace samphire::invariants
{

/// Runs a mesh under random calls and faults and checks its invariants. Runs
/// with the same seed are identical.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : random_(seed * 7919 + 1),
          mesh_(
              {.seed_ = seed,
               .datagram_loss_percent_ =
                   static_cast<unsigned>(random_below(20)),
               .datagram_repeat_percent_ =
                   static_cast<unsigned>(random_below(10))})
    {
        std::vector<std::string> const domains{"a", "b"};
        for (std::size_t i = 0; i < 6; ++i)
        {
            bool const is_front = i % 2 == 0;
            fake::upstream_model const model{
                .service_ = service_name(is_front ? "front" : "back"),
                .slots_ = static_cast<std::uint32_t>(1 + random_below(4)),
                .service_time_ = absl::Milliseconds(2 + random_below(40)),
                .child_calls_ =
                    is_front ? std::vector<
                                   fake::child_call>{{service_name("back"), {}}}
                             : std::vector<fake::child_call>{}};
            mesh_.add_node(domains[i / 3], model);
            mesh_.upstream(i).crash_on("crash", absl::Milliseconds(300));
            mesh_.upstream(i).set_service_time(
                [this, i, time = model.service_time_](
                    start_at_upstream const& work, random_source&)
                {
                    observe_run(i, work);
                    return time;
                });
        }
        nodes_.resize(mesh_.size());
        mesh_.on_action([this](std::size_t node, action const& output)
                        { observe_action(node, output); });
        set_next_policy();
        mesh_.run_for(absl::Seconds(4));
    }

    /// Runs the mesh and returns a message for each violated invariant; empty
    /// if all invariants hold.
    std::vector<std::string> const& run()
    {
        std::size_t const steps = 20 + random_below(40);
        for (std::size_t step = 0; step < steps; ++step)
        {
            perform_random_action();
            mesh_.run_for(absl::Milliseconds(random_below(60)));
            check_revisions();
        }
        mesh_.heal("a");
        mesh_.heal("b");
        mesh_.platform().set_unavailable(false);
        mesh_.platform().set_lost_answer_percent(0);
        mesh_.run_for(absl::Seconds(16));
        check_requests();
        check_attempts();
        return violations_;
    }

private:
    static constexpr std::uint32_t max_extra_attempts = 3;

    std::uint64_t random_below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    void set_next_policy()
    {
        ++revision_;
        std::vector<route_policy> const routes{
            {.route_ = route_name("list"),
             .unrepeatable_ = false,
             .timeout_ = absl::Seconds(3)},
            {.route_ = route_name("book"),
             .importance_ = importance::high,
             .timeout_ = absl::Seconds(3)}};
        mesh_.set_policy(
            std::make_shared<policy_document const>(policy_document{
                .revision_ = revision(revision_),
                .retries_ =
                    {.extra_attempts_ = max_extra_attempts,
                     .service_percent_ = 50},
                .services_ = {
                    {service_name("front"), routes},
                    {service_name("back"), routes}}}));
    }

    void perform_random_action()
    {
        std::uint64_t const choice = random_below(100);
        std::size_t const node = random_below(mesh_.size());
        if (choice < 45)
            send_new_request();
        else if (choice < 65)
            resend_request();
        else if (choice < 70)
            end_daemon(node, false);
        else if (choice < 75)
            pause_daemon(node);
        else if (choice < 78)
            cut_domain(random_below(2) == 0 ? "a" : "b");
        else if (choice < 82)
            inject_platform_fault();
        else if (choice < 86)
            send_crashing_request();
        else if (choice < 89)
            drain_daemon(node);
        else if (choice < 94)
            end_daemon(node, true);
        else if (choice < 97)
            set_next_policy();
        else
            mesh_.upstream(node).set_slowdown(
                1 + static_cast<double>(random_below(20)));
    }

    void send_new_request()
    {
        request_history request{
            .service_ = random_below(2) == 0 ? "front" : "back",
            .route_ = random_below(2) == 0 ? "list" : "book",
            .body_ = "r" + std::to_string(requests_.size()),
            .key_ = "",
            .call_numbers_ = {},
            .run_times_ = {}};
        if (random_below(2) == 0)
            request.key_ = "k" + request.body_;
        requests_.push_back(std::move(request));
        send(requests_.back(), std::nullopt);
    }

    void resend_request()
    {
        if (requests_.empty())
            return;
        request_history& request = requests_[random_below(requests_.size())];
        fake::call_record const& last_call =
            mesh_.record(request.call_numbers_.back());
        bool const has_ticket =
            last_call.answer() && last_call.answer()->ticket_;
        if (has_ticket && random_below(2) == 0)
            send(request, *last_call.answer()->ticket_);
        else if (!request.key_.empty())
            send(request, std::nullopt);
    }

    void send(
        request_history& request, std::optional<execution_ticket> const& ticket)
    {
        std::size_t const entry = random_below(mesh_.size());
        if (!mesh_.alive(entry))
        {
            if (request.call_numbers_.empty())
                requests_.pop_back();
            return;
        }
        absl::Duration const timeout =
            absl::Milliseconds(20 + random_below(2500));
        // The call number and its entry are recorded before the call is sent,
        // because the answer may arrive before call() returns.
        request.call_numbers_.push_back(mesh_.records().size() + 1);
        entry_nodes_[request.call_numbers_.back()] = entry;
        std::string const key =
            ticket && random_below(2) == 0 ? std::string() : request.key_;
        std::uint64_t const call_number = mesh_.call(
            entry,
            request.service_,
            request.route_,
            request.body_,
            timeout,
            ticket,
            key);
        if (random_below(12) == 0)
            disconnect_caller_later(entry, call_number);
    }

    void disconnect_caller_later(std::size_t entry, std::uint64_t call_number)
    {
        disconnected_calls_.insert(call_number);
        mesh_.schedule().after(
            absl::Milliseconds(random_below(50)),
            [this, entry, call_number]
            {
                if (!mesh_.record(call_number).answer())
                    mesh_.deliver(
                        entry, caller_disconnected{call_id(call_number)});
            });
    }

    void send_crashing_request()
    {
        std::size_t const entry = random_below(mesh_.size());
        if (mesh_.alive(entry))
            mesh_.call(
                entry, "back", random_below(2) == 0 ? "list" : "book", "crash");
    }

    /// Stops the daemon gracefully or kills it. A new daemon process starts on
    /// the node later.
    void end_daemon(std::size_t node, bool graceful)
    {
        if (!mesh_.alive(node) || nodes_[node].stopping_)
            return;
        if (graceful)
        {
            nodes_[node].stopping_ = true;
            mesh_.deliver(node, shutdown_requested{});
            return;
        }
        mesh_.kill(node);
        restart_later(node);
    }

    void restart_later(std::size_t node)
    {
        nodes_[node].ended_at_ = mesh_.now();
        mesh_.schedule().after(
            absl::Milliseconds(50 + random_below(1000)),
            [this, node]
            {
                nodes_[node] = {.ended_at_ = nodes_[node].ended_at_};
                mesh_.restart(node);
            });
    }

    void pause_daemon(std::size_t node)
    {
        absl::Duration const pause_duration =
            absl::Milliseconds(random_below(5000));
        nodes_[node].paused_until_ = mesh_.now() + pause_duration;
        mesh_.pause(node, pause_duration);
    }

    void cut_domain(std::string const& domain)
    {
        mesh_.cut(domain);
        mesh_.schedule().after(
            absl::Milliseconds(random_below(3000)),
            [this, domain] { mesh_.heal(domain); });
    }

    void inject_platform_fault()
    {
        bool const unavailable = random_below(2) == 0;
        mesh_.platform().set_unavailable(unavailable);
        mesh_.platform().set_lost_answer_percent(
            unavailable ? 0 : static_cast<unsigned>(random_below(60)));
        mesh_.schedule().after(
            absl::Milliseconds(random_below(3000)),
            [this]
            {
                mesh_.platform().set_unavailable(false);
                mesh_.platform().set_lost_answer_percent(0);
            });
    }

    void drain_daemon(std::size_t node)
    {
        if (!mesh_.alive(node))
            return;
        // A paused daemon handles the drain request only after it resumes.
        // draining_since_ is therefore not set here, but in observe_leaving(),
        // when the daemon announces that it is leaving.
        bool const already_draining =
            nodes_[node].draining_since_ != absl::InfiniteFuture();
        mesh_.deliver(node, drain_requested{});
        if (!already_draining)
            drained_nodes_.insert(node);
    }

    void observe_action(std::size_t node, action const& output)
    {
        if (auto const* const start = std::get_if<start_at_upstream>(&output))
            observe_start(node, *start);
        if (std::holds_alternative<shutdown_finished>(output))
            observe_stop(node);
        if (auto const* const sent = std::get_if<send_datagram>(&output))
            observe_leaving(node, sent->message_);
    }

    /// Records when the daemon first announces that it is leaving.
    void observe_leaving(std::size_t node, peer_message const& message)
    {
        auto const* const ping = std::get_if<membership_ping>(&message);
        if (!ping || nodes_[node].draining_since_ != absl::InfiniteFuture())
            return;
        for (member_record const& record : ping->updates_)
        {
            if (record.daemon_.value() == "node-" + std::to_string(node) &&
                record.status_ == member_status::leaving)
                nodes_[node].draining_since_ = mesh_.now();
        }
    }

    void observe_start(std::size_t node, start_at_upstream const& work)
    {
        ++start_counts_[{
            {work.trace_.trace_high_, work.trace_.trace_low_},
            work.trace_.span_}];
        if (mesh_.now() > nodes_[node].draining_since_ + absl::Seconds(3))
            add_violation(fmt::format(
                "node {} started work after it announced its drain", node));
    }

    /// Records that the upstream of a node runs a request. Not called for a
    /// request that the upstream refuses.
    void observe_run(std::size_t node, start_at_upstream const& work)
    {
        std::string const& service =
            mesh_.upstream(node).model().service_.value();
        for (request_history& request : requests_)
        {
            if (request.service_ == service &&
                request.route_ == work.route_.value() &&
                request.body_ == work.body_.bytes())
                request.run_times_.push_back(mesh_.now());
        }
        executed_calls_.insert(
            {{work.trace_.trace_high_, work.trace_.trace_low_},
             work.trace_.span_});
    }

    void observe_stop(std::size_t node)
    {
        // A daemon that was paused may resume with a queued stop request. It
        // has not accepted calls that were queued behind the stop request, so
        // these calls are not reported as cut off.
        bool const is_resuming = mesh_.now() == nodes_[node].paused_until_;
        for (auto const& [call_number, entry] : entry_nodes_)
        {
            fake::call_record const& record = mesh_.record(call_number);
            bool const is_cut_off = entry == node && !record.answer() &&
                                    !is_resuming &&
                                    record.sent_at() > nodes_[node].ended_at_;
            if (is_cut_off)
                add_violation(fmt::format(
                    "call {} was cut off by a planned stop", call_number));
        }
        restart_later(node);
    }

    void check_revisions()
    {
        for (std::size_t node = 0; node < mesh_.size(); ++node)
        {
            if (!mesh_.alive(node))
                continue;
            revision const current = mesh_.daemon(node).policy().revision_;
            if (current < nodes_[node].revision_)
                add_violation(
                    fmt::format("node {} has a lower revision", node));
            nodes_[node].revision_ = current;
        }
    }

    void check_requests()
    {
        for (request_history const& request : requests_)
        {
            if (request.route_ == "book" && request.run_times_.size() > 1)
                add_violation(request.body_ + " ran twice");
            bool all_answered_not_run = !request.run_times_.empty();
            for (std::uint64_t const call_number : request.call_numbers_)
            {
                fake::call_record const& record = mesh_.record(call_number);
                check_answer(request, call_number, record);
                bool const not_run =
                    record.answer() &&
                    record.answer()->outcome_ == call_outcome::not_run;
                // Each attempt of the caller to send a repeatable request is a
                // separate request, so a run of an earlier attempt does not
                // contradict not_run as the answer to a later one.
                bool const ran_before =
                    request.route_ == "book" && !request.run_times_.empty() &&
                    request.run_times_.front() < record.sent_at();
                if (not_run && (ran_before || was_executed(*record.answer())))
                    add_violation(fmt::format(
                        "{} {} was reported as not run by call {} ({}), but "
                        "had run",
                        request.route_,
                        request.body_,
                        call_number,
                        reason_text(record.answer()->reason_)));
                if (!request.run_times_.empty() &&
                    record.sent_at() <= request.run_times_.front() && !not_run)
                    all_answered_not_run = false;
            }
            if (all_answered_not_run)
                add_violation(
                    request.body_ + " ran although every call sent before that "
                                    "was answered not_run");
        }
        for (auto const& [work, count] : mesh_.runs())
        {
            bool const unrepeatable = work.find(" book r") != std::string::npos;
            if (unrepeatable && count > 1)
                add_violation(work + " ran twice");
        }
    }

    /// Returns whether an upstream ran the answered call. Runs of the child
    /// calls of the answered call do not count.
    bool was_executed(answer_caller const& answer) const
    {
        trace_context const& trace = answer.trace_;
        return executed_calls_.contains(
            {{trace.trace_high_, trace.trace_low_}, trace.span_});
    }

    void check_answer(
        request_history const& request,
        std::uint64_t call_number,
        fake::call_record const& record)
    {
        if (record.extra_answers() > 0)
            add_violation(fmt::format("call {} has two answers", call_number));
        bool const entry_survived =
            record.sent_at() > nodes_[entry_nodes_.at(call_number)].ended_at_;
        if (!record.answer() && entry_survived)
            add_violation(fmt::format("call {} has no answer", call_number));
        bool const completed = record.answer() && record.answer()->outcome_ ==
                                                      call_outcome::completed;
        if (completed &&
            record.answer()->body_.bytes() != "ok " + request.body_)
            add_violation(fmt::format(
                "call {} has the answer of another request", call_number));
    }

    void check_attempts()
    {
        std::map<trace_id, std::uint32_t> extra_attempts_by_trace;
        for (auto const& [call, count] : start_counts_)
            extra_attempts_by_trace[call.first] += count - 1;
        for (auto const& [trace, count] : extra_attempts_by_trace)
        {
            if (count > max_extra_attempts)
                add_violation(
                    fmt::format("one request had {} extra attempts", count));
        }
    }

    void add_violation(std::string text)
    {
        violations_.push_back(std::move(text));
    }

    using trace_id = std::pair<std::uint64_t, std::uint64_t>;

    random_source random_;
    fake::virtual_mesh<product_policies> mesh_;
    std::uint64_t revision_{};
    std::vector<request_history> requests_;
    std::vector<node_history> nodes_;
    std::set<std::size_t> drained_nodes_;
    /// Index of the node that received each call from the caller, by call
    /// number.
    std::map<std::uint64_t, std::size_t> entry_nodes_;
    std::set<std::uint64_t> disconnected_calls_;
    /// Number of times that each call was started at an upstream, by the trace
    /// id of the request and the span id of the call.
    std::map<std::pair<trace_id, std::uint64_t>, std::uint32_t> start_counts_;
    std::set<std::pair<trace_id, std::uint64_t>> executed_calls_;
    std::vector<std::string> violations_;
};

} // namespace samphire::invariants
