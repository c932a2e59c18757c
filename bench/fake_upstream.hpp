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

/// Simulates an upstream in virtual time: runs requests in a limited number of
/// slots, makes child calls and can crash.
class fake_upstream
{
public:
    using event_function = std::function<void(event)>;
    /// Called for each request that has left its slot, with the service time
    /// that the upstream spent on the request.
    using work_ended_function =
        std::function<void(start_at_upstream const&, absl::Duration)>;
    using service_time_function =
        std::function<absl::Duration(start_at_upstream const&, random_source&)>;

    fake_upstream(
        event_schedule& schedule,
        upstream_model model,
        std::uint64_t seed,
        event_function send_event)
        : schedule_(schedule), model_(std::move(model)), random_(seed),
          send_event_(std::move(send_event))
    {
    }

    /// Replaces the fixed service time of the model.
    void set_service_time(service_time_function function)
    {
        service_time_ = std::move(function);
    }

    void on_work_ended(work_ended_function function)
    {
        on_work_ended_ = std::move(function);
    }

    /// Multiplies all service times by `factor`; above 1 the upstream is a
    /// straggler.
    void set_slowdown(double factor)
    {
        slowdown_factor_ = factor;
    }

    upstream_model const& model() const
    {
        return model_;
    }

    bool up() const
    {
        return is_up_;
    }

    std::size_t running() const
    {
        return running_work_.size();
    }

    void start(start_at_upstream const& work)
    {
        if (!is_up_)
        {
            schedule_.after(
                absl::Microseconds(100),
                [this, id = work.execution_] {
                    send_event_(upstream_failed{id, upstream_failure::refused});
                });
            return;
        }
        queued_work_.push_back(work);
        start_queued_work();
    }

    void cancel(execution_id id)
    {
        for (auto it = queued_work_.begin(); it != queued_work_.end(); ++it)
        {
            if (it->execution_ != id)
                continue;
            std::deque<start_at_upstream> remaining_work;
            for (start_at_upstream const& work : queued_work_)
            {
                if (work.execution_ != id)
                    remaining_work.push_back(work);
            }
            queued_work_.swap(remaining_work);
            send_event_(upstream_failed{id, upstream_failure::cancelled});
            return;
        }
        auto const cancelled_work = running_work_.extract(id);
        if (!cancelled_work.empty())
        {
            report_work(cancelled_work.mapped());
            send_event_(upstream_failed{id, upstream_failure::cancelled});
            start_queued_work();
        }
    }

    /// Ends the connections of all requests in flight; a new process accepts
    /// requests after `restart`.
    void crash(absl::Duration restart)
    {
        is_up_ = false;
        ++crashes_;
        std::vector<execution_id> interrupted_executions;
        for (auto const& [id, work] : running_work_)
        {
            report_work(work);
            interrupted_executions.push_back(id);
        }
        for (start_at_upstream const& work : queued_work_)
            interrupted_executions.push_back(work.execution_);
        running_work_.clear();
        queued_work_.clear();
        for (execution_id const id : interrupted_executions)
            send_event_(upstream_failed{id, upstream_failure::connection_lost});
        schedule_.after(restart, [this] { is_up_ = true; });
    }

    /// Makes the upstream crash whenever a request with this body starts.
    void crash_on(std::string body, absl::Duration restart)
    {
        crash_body_ = std::move(body);
        crash_restart_delay_ = restart;
    }

    unsigned crashes() const
    {
        return crashes_;
    }

    /// Continues the execution `id` after the daemon has answered one of its
    /// child calls. Fails the execution with status 502 if the child call was
    /// not completed.
    void child_answered(execution_id id, bool completed)
    {
        auto const found = running_work_.find(id);
        if (found == running_work_.end())
            return;
        if (!completed)
        {
            finish(id, 502);
            return;
        }
        ++found->second.completed_child_calls_;
        advance(id);
    }

    /// Returns how often each request was started, by "route body". A count
    /// above 1 for an unrepeatable request is a double run.
    std::map<std::string, unsigned> const& runs() const
    {
        return start_counts_;
    }

    /// Returns the sum of the service times of all requests started so far.
    double total_service_seconds() const
    {
        return total_service_seconds_;
    }

private:
    struct running_work
    {
        start_at_upstream const work_;
        absl::Time const started_{};
        absl::Duration service_time_{};
        std::size_t completed_child_calls_{};
    };

    void report_work(running_work const& work) const
    {
        if (on_work_ended_)
            on_work_ended_(
                work.work_,
                std::min(work.service_time_, schedule_.now() - work.started_));
    }

    void start_queued_work()
    {
        while (is_up_ && !queued_work_.empty() &&
               running_work_.size() < model_.slots_)
        {
            start_at_upstream const work = queued_work_.front();
            queued_work_.pop_front();
            run(work);
        }
    }

    void run(start_at_upstream const& work)
    {
        ++start_counts_[work.route_.value() + " " + work.body_.bytes()];
        running_work& running =
            running_work_
                .emplace(work.execution_, running_work{work, schedule_.now()})
                .first->second;
        if (!crash_body_.empty() && work.body_.bytes() == crash_body_)
        {
            schedule_.after(
                absl::Milliseconds(1), [this] { crash(crash_restart_delay_); });
            return;
        }
        absl::Duration const service_time =
            (service_time_ ? service_time_(work, random_)
                           : model_.service_time_) *
            slowdown_factor_;
        running.service_time_ = service_time;
        total_service_seconds_ += absl::ToDoubleSeconds(service_time);
        schedule_.after(
            service_time,
            [this, id = work.execution_]
            {
                if (running_work_.contains(id))
                    advance(id);
            });
    }

    void advance(execution_id id)
    {
        running_work const& running = running_work_.at(id);
        if (running.completed_child_calls_ == model_.child_calls_.size())
        {
            finish(id, 200);
            return;
        }
        child_call const& child =
            model_.child_calls_[running.completed_child_calls_];
        send_event_(call_received{
            .call_ = call_id(next_child_call_number()),
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
        auto const finished_work = running_work_.extract(id);
        report_work(finished_work.mapped());
        send_event_(upstream_answered{
            id,
            status,
            payload("ok " + finished_work.mapped().work_.body_.bytes())});
        start_queued_work();
    }

    static std::uint64_t next_child_call_number()
    {
        // Child calls are numbered from 2^40, so that their numbers differ from
        // those of the callers' calls, which are numbered from 1.
        static std::uint64_t next = std::uint64_t{1} << 40;
        return ++next;
    }

    event_schedule& schedule_;
    upstream_model const model_;
    random_source random_;
    event_function send_event_;
    service_time_function service_time_;
    work_ended_function on_work_ended_;
    double slowdown_factor_{1.0};
    bool is_up_{true};
    unsigned crashes_{};
    std::string crash_body_;
    absl::Duration crash_restart_delay_{};
    std::deque<start_at_upstream> queued_work_;
    std::map<execution_id, running_work> running_work_;
    std::map<std::string, unsigned> start_counts_;
    double total_service_seconds_{};
};

} // namespace samphire::fake
