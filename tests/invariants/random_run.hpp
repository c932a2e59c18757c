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

/// One short run of a mesh under random calls and faults. Everything follows
/// from the seed.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : random_(seed * 7919 + 1),
          mesh_(
              {.seed_ = seed,
               .datagram_loss_percent_ = static_cast<unsigned>(below(20)),
               .datagram_repeat_percent_ = static_cast<unsigned>(below(10))})
    {
        std::vector<std::string> const domains{"a", "b"};
        for (std::size_t i = 0; i < 6; ++i)
        {
            bool const front = i % 2 == 0;
            fake::upstream_model const model{
                .service_ = service_name(front ? "front" : "back"),
                .slots_ = static_cast<std::uint32_t>(1 + below(4)),
                .service_time_ = absl::Milliseconds(2 + below(40)),
                .calls_ =
                    front ? std::vector<
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
        mesh_.on_action([this](std::size_t node, action const& decided)
                        { observe(node, decided); });
        set_policy();
        mesh_.run_for(absl::Seconds(4));
    }

    /// Violated invariants; empty when all hold.
    std::vector<std::string> const& run()
    {
        std::size_t const steps = 20 + below(40);
        for (std::size_t step = 0; step < steps; ++step)
        {
            act();
            mesh_.run_for(absl::Milliseconds(below(60)));
            check_revisions();
        }
        mesh_.heal("a");
        mesh_.heal("b");
        mesh_.platform().set_out(false);
        mesh_.platform().set_lost_answers(0);
        mesh_.run_for(absl::Seconds(16));
        check_requests();
        check_attempts();
        return violations_;
    }

private:
    static constexpr std::uint32_t extra_attempts = 3;

    std::uint64_t below(std::uint64_t limit)
    {
        return random_() % limit;
    }

    void set_policy()
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
                    {.extra_attempts_ = extra_attempts, .service_percent_ = 50},
                .services_ = {
                    {service_name("front"), routes},
                    {service_name("back"), routes}}}));
    }

    void act()
    {
        std::uint64_t const choice = below(100);
        std::size_t const node = below(mesh_.size());
        if (choice < 45)
            send_new();
        else if (choice < 65)
            send_again();
        else if (choice < 70)
            end(node, false);
        else if (choice < 75)
            freeze(node);
        else if (choice < 78)
            cut(below(2) == 0 ? "a" : "b");
        else if (choice < 82)
            platform_fault();
        else if (choice < 86)
            crash_request();
        else if (choice < 89)
            drain(node);
        else if (choice < 94)
            end(node, true);
        else if (choice < 97)
            set_policy();
        else
            mesh_.upstream(node).set_slowdown(
                1 + static_cast<double>(below(20)));
    }

    void send_new()
    {
        request_history request{
            .service_ = below(2) == 0 ? "front" : "back",
            .route_ = below(2) == 0 ? "list" : "book",
            .body_ = "r" + std::to_string(requests_.size()),
            .key_ = "",
            .sends_ = {},
            .runs_ = {}};
        if (below(2) == 0)
            request.key_ = "k" + request.body_;
        requests_.push_back(std::move(request));
        send(requests_.back(), std::nullopt);
    }

    void send_again()
    {
        if (requests_.empty())
            return;
        request_history& request = requests_[below(requests_.size())];
        fake::caller_record const& last = mesh_.record(request.sends_.back());
        bool const ticket = last.answer() && last.answer()->ticket_;
        if (ticket && below(2) == 0)
            send(request, *last.answer()->ticket_);
        else if (!request.key_.empty())
            send(request, std::nullopt);
    }

    void send(
        request_history& request, std::optional<execution_ticket> const& ticket)
    {
        std::size_t const entry = below(mesh_.size());
        if (!mesh_.alive(entry))
        {
            if (request.sends_.empty())
                requests_.pop_back();
            return;
        }
        absl::Duration const timeout = absl::Milliseconds(20 + below(2500));
        // A completed answer may arrive while the call is being recorded.
        request.sends_.push_back(mesh_.records().size() + 1);
        entries_[request.sends_.back()] = entry;
        std::string const key =
            ticket && below(2) == 0 ? std::string() : request.key_;
        std::uint64_t const number = mesh_.call(
            entry,
            request.service_,
            request.route_,
            request.body_,
            timeout,
            ticket,
            key);
        if (below(12) == 0)
            leave_later(entry, number);
    }

    void leave_later(std::size_t entry, std::uint64_t number)
    {
        gone_.insert(number);
        mesh_.schedule().after(
            absl::Milliseconds(below(50)),
            [this, entry, number]
            {
                if (!mesh_.record(number).answer())
                    mesh_.deliver(entry, caller_gone{call_id(number)});
            });
    }

    void crash_request()
    {
        std::size_t const entry = below(mesh_.size());
        if (mesh_.alive(entry))
            mesh_.call(entry, "back", below(2) == 0 ? "list" : "book", "crash");
    }

    /// Ends the daemon, gracefully or not, and starts it again later.
    void end(std::size_t node, bool graceful)
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
        start_later(node);
    }

    void start_later(std::size_t node)
    {
        nodes_[node].ended_ = mesh_.now();
        mesh_.schedule().after(
            absl::Milliseconds(50 + below(1000)),
            [this, node]
            {
                nodes_[node] = {.ended_ = nodes_[node].ended_};
                mesh_.restart(node);
            });
    }

    void freeze(std::size_t node)
    {
        absl::Duration const time = absl::Milliseconds(below(5000));
        nodes_[node].frozen_until_ = mesh_.now() + time;
        mesh_.freeze(node, time);
    }

    void cut(std::string const& domain)
    {
        mesh_.cut(domain);
        mesh_.schedule().after(
            absl::Milliseconds(below(3000)),
            [this, domain] { mesh_.heal(domain); });
    }

    void platform_fault()
    {
        bool const out = below(2) == 0;
        mesh_.platform().set_out(out);
        mesh_.platform().set_lost_answers(
            out ? 0 : static_cast<unsigned>(below(60)));
        mesh_.schedule().after(
            absl::Milliseconds(below(3000)),
            [this]
            {
                mesh_.platform().set_out(false);
                mesh_.platform().set_lost_answers(0);
            });
    }

    void drain(std::size_t node)
    {
        if (!mesh_.alive(node))
            return;
        // A frozen daemon learns of it when it wakes up.
        bool const later = nodes_[node].drained_ != absl::InfiniteFuture();
        mesh_.deliver(node, drain_requested{});
        if (!later)
            drains_.insert(node);
    }

    void observe(std::size_t node, action const& decided)
    {
        if (auto const* const ready = std::get_if<start_at_upstream>(&decided))
            observe_start(node, *ready);
        if (std::holds_alternative<shutdown_finished>(decided))
            observe_stop(node);
        if (auto const* const sent = std::get_if<send_datagram>(&decided))
            observe_leaving(node, sent->message_);
    }

    /// The announcement of leaving shows that the daemon knows of it.
    void observe_leaving(std::size_t node, peer_message const& message)
    {
        auto const* const ping = std::get_if<membership_ping>(&message);
        if (!ping || nodes_[node].drained_ != absl::InfiniteFuture())
            return;
        for (member_record const& record : ping->updates_)
        {
            if (record.daemon_.value() == "node-" + std::to_string(node) &&
                record.status_ == member_status::leaving)
                nodes_[node].drained_ = mesh_.now();
        }
    }

    void observe_start(std::size_t node, start_at_upstream const& work)
    {
        ++starts_[{
            {work.trace_.trace_high_, work.trace_.trace_low_},
            work.trace_.span_}];
        if (mesh_.now() > nodes_[node].drained_ + absl::Seconds(3))
            violate(fmt::format("node {} started work after its drain", node));
    }

    /// The upstream itself runs the request; a start that it refuses does not.
    void observe_run(std::size_t node, start_at_upstream const& work)
    {
        std::string const& service =
            mesh_.upstream(node).model().service_.value();
        for (request_history& request : requests_)
        {
            if (request.service_ == service &&
                request.route_ == work.route_.value() &&
                request.body_ == work.body_.bytes())
                request.runs_.push_back(mesh_.now());
        }
        runs_.insert(
            {{work.trace_.trace_high_, work.trace_.trace_low_},
             work.trace_.span_});
    }

    void observe_stop(std::size_t node)
    {
        // Calls that came during a freeze and wait behind the request to stop
        // were not accepted.
        bool const thawing = mesh_.now() == nodes_[node].frozen_until_;
        for (auto const& [number, entry] : entries_)
        {
            fake::caller_record const& record = mesh_.record(number);
            bool const cut = entry == node && !record.answer() && !thawing &&
                             record.sent() > nodes_[node].ended_;
            if (cut)
                violate(
                    fmt::format("call {} was cut by a planned stop", number));
        }
        start_later(node);
    }

    void check_revisions()
    {
        for (std::size_t node = 0; node < mesh_.size(); ++node)
        {
            if (!mesh_.alive(node))
                continue;
            revision const now = mesh_.daemon(node).policy().revision_;
            if (now < nodes_[node].revision_)
                violate(fmt::format("node {} has a lower revision", node));
            nodes_[node].revision_ = now;
        }
    }

    void check_requests()
    {
        for (request_history const& request : requests_)
        {
            if (request.route_ == "book" && request.runs_.size() > 1)
                violate(request.body_ + " ran twice");
            bool refused_all = !request.runs_.empty();
            for (std::uint64_t const number : request.sends_)
            {
                fake::caller_record const& record = mesh_.record(number);
                check_answer(request, number, record);
                bool const not_run =
                    record.answer() &&
                    record.answer()->outcome_ == call_outcome::not_run;
                // Sends of a repeatable request are requests of their own.
                bool const ran_before = request.route_ == "book" &&
                                        !request.runs_.empty() &&
                                        request.runs_.front() < record.sent();
                if (not_run && (ran_before || started(*record.answer())))
                    violate(fmt::format(
                        "{} {} was told not run by call {} ({}), but had run",
                        request.route_,
                        request.body_,
                        number,
                        reason_text(record.answer()->reason_)));
                if (!request.runs_.empty() &&
                    record.sent() <= request.runs_.front() && !not_run)
                    refused_all = false;
            }
            if (refused_all)
                violate(request.body_ + " ran although every send was refused");
        }
        for (auto const& [work, count] : mesh_.runs())
        {
            bool const unrepeatable = work.find(" book r") != std::string::npos;
            if (unrepeatable && count > 1)
                violate(work + " ran twice");
        }
    }

    /// True when the call itself ran, not only a call that it led to.
    bool started(answer_caller const& answer) const
    {
        trace_context const& trace = answer.trace_;
        return runs_.contains(
            {{trace.trace_high_, trace.trace_low_}, trace.span_});
    }

    void check_answer(
        request_history const& request,
        std::uint64_t number,
        fake::caller_record const& record)
    {
        if (record.extra_answers() > 0)
            violate(fmt::format("call {} has two answers", number));
        bool const entry_lived =
            record.sent() > nodes_[entries_.at(number)].ended_;
        if (!record.answer() && entry_lived)
            violate(fmt::format("call {} has no answer", number));
        bool const completed = record.answer() && record.answer()->outcome_ ==
                                                      call_outcome::completed;
        if (completed &&
            record.answer()->body_.bytes() != "ok " + request.body_)
            violate(fmt::format("call {} has a foreign answer", number));
    }

    void check_attempts()
    {
        std::map<trace_id, std::uint32_t> extra;
        for (auto const& [call, count] : starts_)
            extra[call.first] += count - 1;
        for (auto const& [trace, count] : extra)
        {
            if (count > extra_attempts)
                violate(fmt::format("{} extra attempts in one request", count));
        }
    }

    void violate(std::string what)
    {
        violations_.push_back(std::move(what));
    }

    using trace_id = std::pair<std::uint64_t, std::uint64_t>;

    random_source random_;
    fake::virtual_mesh<product_policies> mesh_;
    std::uint64_t revision_{};
    std::vector<request_history> requests_;
    std::vector<node_history> nodes_;
    std::set<std::size_t> drains_;
    std::map<std::uint64_t, std::size_t> entries_;
    std::set<std::uint64_t> gone_;
    /// Starts of each call: the request's trace and the span of the call.
    std::map<std::pair<trace_id, std::uint64_t>, std::uint32_t> starts_;
    std::set<std::pair<trace_id, std::uint64_t>> runs_;
    std::vector<std::string> violations_;
};

} // namespace samphire::invariants
