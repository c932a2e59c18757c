#pragma once

#include "base/random_source.hpp"
#include "core/actions/start_at_upstream.hpp"
#include "core/events/upstream_failure.hpp"
#include "event_schedule.hpp"
#include "upstream_model.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace samphire::fake
{

/// Upstream in virtual time: slots, service times, child calls, crashes.
class fake_upstream
{
public:
    using reply_function = std::function<void(event)>;
    /// Receives each request that left its slot and the service time that was
    /// spent on it.
    using work_function =
        std::function<void(start_at_upstream const&, absl::Duration)>;
    using service_time_function =
        std::function<absl::Duration(start_at_upstream const&, random_source&)>;

    fake_upstream(
        event_schedule& schedule,
        upstream_model model,
        std::uint64_t seed,
        reply_function reply)
        : schedule_(schedule), model_(std::move(model)), random_(seed),
          reply_(std::move(reply))
    {
    }

    /// Replaces the fixed service time of the model.
    void set_service_time(service_time_function function)
    {
        service_time_ = std::move(function);
    }

    void on_work_ended(work_function function)
    {
        work_ended_ = std::move(function);
    }

    /// Multiplies service times: a straggler.
    void set_slowdown(double factor)
    {
        slowdown_ = factor;
    }

    upstream_model const& model() const
    {
        return model_;
    }

    bool up() const
    {
        return up_;
    }

    std::size_t running() const
    {
        return running_.size();
    }

    void start(start_at_upstream const& work)
    {
        if (!up_)
        {
            schedule_.after(
                absl::Microseconds(100),
                [this, id = work.execution_] {
                    reply_(upstream_failed{id, upstream_failure::refused});
                });
            return;
        }
        waiting_.push_back(work);
        start_waiting();
    }

    void cancel(execution_id id)
    {
        for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
        {
            if (it->execution_ != id)
                continue;
            std::deque<start_at_upstream> kept;
            for (start_at_upstream const& work : waiting_)
            {
                if (work.execution_ != id)
                    kept.push_back(work);
            }
            waiting_.swap(kept);
            reply_(upstream_failed{id, upstream_failure::cancelled});
            return;
        }
        auto const stopped = running_.extract(id);
        if (!stopped.empty())
        {
            report_work(stopped.mapped());
            reply_(upstream_failed{id, upstream_failure::cancelled});
            start_waiting();
        }
    }

    /// Everything in flight loses its connection; a new process serves after
    /// `restart`.
    void crash(absl::Duration restart)
    {
        up_ = false;
        ++crashes_;
        std::vector<execution_id> lost;
        for (auto const& [id, work] : running_)
        {
            report_work(work);
            lost.push_back(id);
        }
        for (start_at_upstream const& work : waiting_)
            lost.push_back(work.execution_);
        running_.clear();
        waiting_.clear();
        for (execution_id const id : lost)
            reply_(upstream_failed{id, upstream_failure::connection_lost});
        schedule_.after(restart, [this] { up_ = true; });
    }

    /// Crashes whenever a request with this body starts.
    void crash_on(std::string body, absl::Duration restart)
    {
        crash_body_ = std::move(body);
        crash_restart_ = restart;
    }

    unsigned crashes() const
    {
        return crashes_;
    }

    /// The daemon answered a child call of the execution.
    void child_answered(execution_id id, bool completed)
    {
        auto const found = running_.find(id);
        if (found == running_.end())
            return;
        if (!completed)
        {
            finish(id, 502);
            return;
        }
        ++found->second.children_done_;
        advance(id);
    }

    /// Starts of each "route body", the evidence for double runs.
    std::map<std::string, unsigned> const& runs() const
    {
        return runs_;
    }

    /// Service time spent, in seconds.
    double busy_seconds() const
    {
        return busy_seconds_;
    }

private:
    struct running_work
    {
        start_at_upstream const work_;
        absl::Time const started_{};
        absl::Duration service_time_{};
        std::size_t children_done_{};
    };

    void report_work(running_work const& work) const
    {
        if (work_ended_)
            work_ended_(
                work.work_,
                std::min(work.service_time_, schedule_.now() - work.started_));
    }

    void start_waiting()
    {
        while (up_ && !waiting_.empty() && running_.size() < model_.slots_)
        {
            start_at_upstream const work = waiting_.front();
            waiting_.pop_front();
            run(work);
        }
    }

    void run(start_at_upstream const& work)
    {
        ++runs_[work.route_.value() + " " + work.body_.bytes()];
        running_work& running =
            running_
                .emplace(work.execution_, running_work{work, schedule_.now()})
                .first->second;
        if (!crash_body_.empty() && work.body_.bytes() == crash_body_)
        {
            schedule_.after(
                absl::Milliseconds(1), [this] { crash(crash_restart_); });
            return;
        }
        absl::Duration const time =
            (service_time_ ? service_time_(work, random_)
                           : model_.service_time_) *
            slowdown_;
        running.service_time_ = time;
        busy_seconds_ += absl::ToDoubleSeconds(time);
        schedule_.after(
            time,
            [this, id = work.execution_]
            {
                if (running_.contains(id))
                    advance(id);
            });
    }

    void advance(execution_id id)
    {
        running_work const& running = running_.at(id);
        if (running.children_done_ == model_.calls_.size())
        {
            finish(id, 200);
            return;
        }
        child_call const& child = model_.calls_[running.children_done_];
        reply_(call_received{
            .call_ = call_id(next_child_call()),
            .source_ = call_source::upstream,
            .service_ = child.service_,
            .route_ =
                child.route_.empty() ? running.work_.route_ : child.route_,
            .parent_ = id,
            .timeout_ = absl::InfiniteDuration(),
            .body_ = running.work_.body_});
    }

    void finish(execution_id id, std::uint16_t status)
    {
        auto const node = running_.extract(id);
        report_work(node.mapped());
        reply_(upstream_answered{
            id, status, payload("ok " + node.mapped().work_.body_.bytes())});
        start_waiting();
    }

    static std::uint64_t next_child_call()
    {
        // Calls of callers have small numbers.
        static std::uint64_t next = std::uint64_t{1} << 40;
        return ++next;
    }

    event_schedule& schedule_;
    upstream_model const model_;
    random_source random_;
    reply_function reply_;
    service_time_function service_time_;
    work_function work_ended_;
    double slowdown_{1.0};
    bool up_{true};
    unsigned crashes_{};
    std::string crash_body_;
    absl::Duration crash_restart_{};
    std::deque<start_at_upstream> waiting_;
    std::map<execution_id, running_work> running_;
    std::map<std::string, unsigned> runs_;
    double busy_seconds_{};
};

} // namespace samphire::fake
