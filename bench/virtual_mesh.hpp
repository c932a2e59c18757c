#pragma once

#include "base/random_source.hpp"
#include "call_record.hpp"
#include "core/daemon_core.hpp"
#include "event_schedule.hpp"
#include "fake_platform.hpp"
#include "fake_upstream.hpp"
#include "mesh_settings.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphire::fake
{

/// Several daemon_core objects joined in virtual time by a fake network, fake
/// upstreams and a fake platform. The mesh delivers messages and injects
/// faults; all decisions are those of daemon_core. Everything runs on one
/// thread, and runs with the same seed are identical.
template <policies Policies>
class virtual_mesh
{
public:
    using core = daemon_core<Policies>;
    using call_ended_function = std::function<void(call_record const&)>;

    explicit virtual_mesh(mesh_settings settings)
        : settings_(settings), random_(settings.seed_),
          platform_(settings.seed_ + 1)
    {
    }

    event_schedule& schedule()
    {
        return schedule_;
    }

    fake_platform& platform()
    {
        return platform_;
    }

    random_source& random()
    {
        return random_;
    }

    absl::Time now() const
    {
        return schedule_.now();
    }

    void run_for(absl::Duration time)
    {
        schedule_.run_until(now() + time);
    }

    /// Adds a VM with its daemon and upstream; returns the index of the node.
    std::size_t add_node(
        std::string const& domain,
        upstream_model model,
        core_settings const& base = {})
    {
        std::size_t const index = nodes_.size();
        auto new_node = std::make_unique<node>(domain, base);
        new_node->upstream_ = std::make_unique<fake_upstream>(
            schedule_,
            std::move(model),
            random_(),
            [this, index](event input)
            { deliver_from_upstream(index, std::move(input)); });
        nodes_.push_back(std::move(new_node));
        start_daemon(index);
        announce_upstream(index);
        return index;
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    core& daemon(std::size_t index)
    {
        return *nodes_[index]->core_;
    }

    bool alive(std::size_t index) const
    {
        return nodes_[index]->core_ != nullptr;
    }

    fake_upstream& upstream(std::size_t index)
    {
        return *nodes_[index]->upstream_;
    }

    /// Delivers a caller's request to the daemon of the node `entry`. Returns
    /// the number of the call; calls are numbered from 1.
    std::uint64_t call(
        std::size_t entry,
        std::string const& service,
        std::string const& route,
        std::string const& body,
        absl::Duration timeout = absl::Seconds(2),
        std::optional<execution_ticket> const& ticket = std::nullopt,
        std::string const& key = "")
    {
        std::uint64_t const call_number = call_records_.size() + 1;
        call_received const request{
            .call_ = call_id(call_number),
            .source_ = call_source::caller,
            .service_ = service_name(service),
            .route_ = route_name(route),
            .key_ = idempotency_key(key),
            .ticket_ = ticket,
            .timeout_ = timeout,
            .body_ = payload(body)};
        call_records_.push_back(std::make_unique<call_record>(request, now()));
        deliver(entry, request);
        return call_number;
    }

    call_record const& record(std::uint64_t call_number) const
    {
        return *call_records_[call_number - 1];
    }

    std::vector<std::unique_ptr<call_record>> const& records() const
    {
        return call_records_;
    }

    /// Applies the policy document at every daemon, including daemons that
    /// start later.
    void set_policy(std::shared_ptr<policy_document const> document)
    {
        policy_ = std::move(document);
        for (auto const& node_pointer : nodes_)
        {
            if (node_pointer->core_)
                node_pointer->core_->offer_policy(policy_, now());
        }
    }

    /// Sets the function that is called after each answer to a caller.
    void on_call_ended(call_ended_function function)
    {
        on_call_ended_ = std::move(function);
    }

    /// Sets the function that is called with the node index and each action of
    /// its daemon, before the mesh carries out the action.
    void on_action(std::function<void(std::size_t, action const&)> function)
    {
        on_action_ = std::move(function);
    }

    void deliver(std::size_t index, event const& input)
    {
        node& target = *nodes_[index];
        if (!target.core_)
            return;
        if (now() < target.paused_until_)
        {
            target.pending_events_.push_back(input);
            return;
        }
        action_list const actions = target.core_->handle(input, now());
        for (action const& output : actions)
        {
            if (on_action_)
                on_action_(index, output);
            std::visit(
                [&](auto const& value) { carry_out(index, value); }, output);
        }
        schedule_timer(index);
    }

    /// Ends the daemon process of a node without a graceful shutdown. The
    /// upstream of the node keeps running.
    void kill(std::size_t index)
    {
        node& target = *nodes_[index];
        if (!target.core_)
            return;
        target.core_.reset();
        target.pending_events_.clear();
        ++target.generation_;
        endpoint const killed_address = address(index);
        std::erase_if(
            connections_,
            [index](auto const& pair) { return pair.first == index; });
        for (std::size_t other = 0; other < nodes_.size(); ++other)
        {
            if (other != index && are_connected(other, index))
                schedule_.after(
                    latency(other, index),
                    [this, other, killed_address, index]
                    {
                        connections_.erase({other, index});
                        deliver(other, peer_unreachable{killed_address, false});
                    });
        }
    }

    /// Kills the daemon of a node and starts a new process, which has none of
    /// the state of the killed process.
    void restart(std::size_t index)
    {
        kill(index);
        start_daemon(index);
    }

    /// Pauses the daemon process of a node for `time`. Events that arrive
    /// during the pause are delivered when the process resumes.
    void pause(std::size_t index, absl::Duration time)
    {
        node& target = *nodes_[index];
        target.paused_until_ = now() + time;
        schedule_.after(
            time,
            [this, index, generation = target.generation_]
            {
                node& resumed_node = *nodes_[index];
                if (resumed_node.generation_ != generation)
                    return;
                std::deque<event> pending_events;
                pending_events.swap(resumed_node.pending_events_);
                for (event const& input : pending_events)
                {
                    if (resumed_node.generation_ == generation)
                        deliver(index, input);
                }
                if (resumed_node.generation_ == generation)
                    deliver(index, timer_elapsed{});
            });
    }

    /// Cuts a failure domain off from the other domains and from the platform.
    void cut(std::string const& domain)
    {
        isolated_domains_.insert(domain);
    }

    void heal(std::string const& domain)
    {
        isolated_domains_.erase(domain);
    }

    std::string const& domain(std::size_t index) const
    {
        return nodes_[index]->domain_;
    }

    static endpoint address(std::size_t index)
    {
        return endpoint(0x0a000001 + static_cast<std::uint32_t>(index), 7000);
    }

    /// Returns how often each request was started at all upstreams together, by
    /// "service route body".
    std::map<std::string, unsigned> runs() const
    {
        std::map<std::string, unsigned> total;
        for (auto const& node_pointer : nodes_)
        {
            std::string const service =
                node_pointer->upstream_->model().service_.value();
            for (auto const& [work, count] : node_pointer->upstream_->runs())
                total[service + " " + work] += count;
        }
        return total;
    }

private:
    struct node
    {
        node(std::string domain, core_settings settings)
            : domain_(std::move(domain)), settings_(std::move(settings))
        {
        }

        std::string const domain_;
        core_settings const settings_;
        std::unique_ptr<core> core_;
        std::unique_ptr<fake_upstream> upstream_;
        /// Number of the daemon process; timers and answers that were scheduled
        /// for an earlier process are ignored.
        std::uint64_t generation_{};
        absl::Time paused_until_{absl::InfinitePast()};
        std::deque<event> pending_events_;
        /// Loads of the upstream, each with the time of its measurement.
        std::deque<std::pair<absl::Time, std::size_t>> load_samples_;
        absl::Time next_timer_at_{absl::InfiniteFuture()};
    };

    void start_daemon(std::size_t index)
    {
        node& target = *nodes_[index];
        ++target.generation_;
        target.paused_until_ = absl::InfinitePast();
        target.next_timer_at_ = absl::InfiniteFuture();
        core_settings const& base = target.settings_;
        core_settings const settings{
            .call_capacity_ = base.call_capacity_,
            .queue_capacity_ = base.queue_capacity_,
            .registry_ = base.registry_,
            .ticket_query_margin_ = base.ticket_query_margin_,
            .announcement_lifetime_ = base.announcement_lifetime_,
            .initial_read_timeout_ = base.initial_read_timeout_,
            .shutdown_linger_duration_ = base.shutdown_linger_duration_,
            .pause_threshold_ = base.pause_threshold_,
            .seeds_ = {address(0), address(1)}};
        daemon_identity const identity{
            .daemon_ = daemon_id("node-" + std::to_string(index)),
            .domain_ = domain_name(target.domain_),
            .endpoint_ = address(index),
            .incarnation_ = incarnation(++last_incarnation_)};
        target.core_ = std::make_unique<core>(settings, identity, random_());
        if (policy_)
            target.core_->offer_policy(policy_, now());
        deliver(index, timer_elapsed{});
    }

    void announce_upstream(std::size_t index)
    {
        fake_upstream const& upstream = *nodes_[index]->upstream_;
        upstream_model const& model = upstream.model();
        std::uint32_t const load = delayed_load(index);
        if (upstream.up())
            deliver(
                index,
                upstream_announced{
                    {.service_ = model.service_,
                     .endpoint_ = endpoint(address(index).address(), 9000),
                     .slots_ = model.slots_,
                     .reported_load_ = load}});
        schedule_.after(
            absl::Seconds(1), [this, index] { announce_upstream(index); });
    }

    /// Returns the load that the upstream had load_report_delay_ ago; zero if
    /// the load was not measured that early.
    std::uint32_t delayed_load(std::size_t index)
    {
        node& target = *nodes_[index];
        target.load_samples_.emplace_back(now(), target.upstream_->running());
        while (target.load_samples_.size() > 1 &&
               target.load_samples_[1].first <=
                   now() - settings_.load_report_delay_)
            target.load_samples_.pop_front();
        bool const is_old_enough = target.load_samples_.front().first <=
                                   now() - settings_.load_report_delay_;
        return is_old_enough ? static_cast<std::uint32_t>(
                                   target.load_samples_.front().second)
                             : 0;
    }

    void schedule_timer(std::size_t index)
    {
        node& target = *nodes_[index];
        if (!target.core_)
            return;
        absl::Time const next = std::max(target.core_->next_deadline(), now());
        if (next == absl::InfiniteFuture() || next >= target.next_timer_at_)
            return;
        target.next_timer_at_ = next;
        schedule_.at(
            next,
            [this, index, next, generation = target.generation_]
            {
                node& due_node = *nodes_[index];
                if (due_node.generation_ != generation ||
                    due_node.next_timer_at_ != next)
                    return;
                due_node.next_timer_at_ = absl::InfiniteFuture();
                deliver(index, timer_elapsed{});
            });
    }

    bool are_connected(std::size_t left_index, std::size_t right_index) const
    {
        std::string const& a = nodes_[left_index]->domain_;
        std::string const& b = nodes_[right_index]->domain_;
        return a == b || (!isolated_domains_.contains(a) &&
                          !isolated_domains_.contains(b));
    }

    absl::Duration
    latency(std::size_t left_index, std::size_t right_index) const
    {
        return nodes_[left_index]->domain_ == nodes_[right_index]->domain_
                   ? settings_.local_latency_
                   : settings_.cross_domain_latency_;
    }

    static std::size_t node_index_of(endpoint address)
    {
        return address.address() - 0x0a000001;
    }

    peer_identity identity(std::size_t index) const
    {
        member_record const self =
            nodes_[index]->core_->members().self_record();
        return {self.daemon_, self.incarnation_, self.endpoint_};
    }

    void carry_out(std::size_t, answer_caller const& value)
    {
        std::uint64_t const call_number = value.call_.value();
        if (call_number <= call_records_.size())
        {
            call_record& record = *call_records_[call_number - 1];
            record.record_answer(value, now());
            if (on_call_ended_)
                on_call_ended_(record);
            return;
        }
        auto const found = child_calls_.find(call_number);
        if (found == child_calls_.end())
            return;
        auto const [index, execution] = found->second;
        child_calls_.erase(found);
        bool const completed =
            value.outcome_ == call_outcome::completed && value.status_ == 200;
        nodes_[index]->upstream_->child_answered(execution, completed);
    }

    void carry_out(std::size_t index, send_to_peer const& value)
    {
        std::size_t const to = node_index_of(value.peer_);
        if (to >= nodes_.size() || !are_connected(index, to))
        {
            // A sender that is cut off from the receiver detects this by the
            // timeout of its transport.
            schedule_.after(
                absl::Seconds(3),
                [this,
                 index,
                 peer = value.peer_,
                 generation = nodes_[index]->generation_]
                {
                    if (nodes_[index]->generation_ == generation)
                        deliver(index, peer_unreachable{peer, false});
                });
            return;
        }
        peer_message_received const message{identity(index), value.message_};
        schedule_.after(
            latency(index, to),
            [this, index, to, message, generation = nodes_[index]->generation_]
            {
                if (nodes_[to]->core_)
                {
                    connections_.emplace(index, to);
                    deliver(to, message);
                    return;
                }
                // If the sender has a connection to the ended process, earlier
                // messages may have been delivered over that connection.
                // Without a connection, no message was delivered.
                bool const undelivered = connections_.erase({index, to}) == 0;
                // The connection reset arrives after everything that the peer
                // sent before it ended.
                schedule_.after(
                    latency(index, to),
                    [this, index, to, undelivered, generation]
                    {
                        if (nodes_[index]->generation_ == generation)
                            deliver(
                                index,
                                peer_unreachable{address(to), undelivered});
                    });
            });
    }

    void carry_out(std::size_t index, send_datagram const& value)
    {
        std::size_t const to = node_index_of(value.peer_);
        if (to >= nodes_.size() || !are_connected(index, to))
            return;
        peer_message_received const message{identity(index), value.message_};
        unsigned const copies =
            random_() % 100 < settings_.datagram_repeat_percent_ ? 2 : 1;
        for (unsigned copy = 0; copy < copies; ++copy)
        {
            if (random_() % 100 < settings_.datagram_loss_percent_)
                continue;
            double const jitter_ratio =
                static_cast<double>(random_() % 1000) / 1000.0;
            schedule_.after(
                latency(index, to) + jitter_ratio * settings_.datagram_jitter_,
                [this, to, message] { deliver(to, message); });
        }
    }

    void carry_out(std::size_t index, start_at_upstream const& value)
    {
        nodes_[index]->upstream_->start(value);
    }

    void carry_out(std::size_t index, cancel_at_upstream const& value)
    {
        schedule_.after(
            absl::Microseconds(100),
            [this, index, id = value.execution_]
            { nodes_[index]->upstream_->cancel(id); });
    }

    void carry_out(std::size_t index, call_platform const& value)
    {
        call_platform_until(index, value, nodes_[index]->generation_, now());
    }

    /// Calls the platform. A watch is repeated every 100 ms until the object
    /// has changed, for at most 10 s.
    void call_platform_until(
        std::size_t index,
        call_platform const& value,
        std::uint64_t generation,
        absl::Time started)
    {
        bool const isolated =
            isolated_domains_.contains(nodes_[index]->domain_);
        platform_result const result =
            isolated ? platform_result{.status_ = platform_status::no_answer}
                     : platform_.call(value.request_);
        bool const must_wait = result.status_ == platform_status::unchanged &&
                               now() - started < absl::Seconds(10);
        if (must_wait)
        {
            schedule_.after(
                absl::Milliseconds(100),
                [this, index, value, generation, started]
                { call_platform_until(index, value, generation, started); });
            return;
        }
        absl::Duration const delay =
            result.status_ == platform_status::no_answer ? absl::Seconds(2)
                                                         : platform_.latency();
        schedule_.after(
            delay,
            [this, index, operation = value.operation_, result, generation]
            {
                if (nodes_[index]->generation_ == generation)
                    deliver(index, platform_replied{operation, result});
            });
    }

    void carry_out(std::size_t, emit_log const&)
    {
    }

    void carry_out(std::size_t, emit_span const&)
    {
    }

    void carry_out(std::size_t, readiness_changed const&)
    {
    }

    /// Ends the daemon process after its graceful shutdown.
    void carry_out(std::size_t index, shutdown_finished const&)
    {
        schedule_.after(
            absl::ZeroDuration(),
            [this, index, generation = nodes_[index]->generation_]
            {
                if (nodes_[index]->generation_ == generation)
                    kill(index);
            });
    }

    /// Delivers an answer or a child call of an upstream to the daemon process
    /// that runs on its node at the time of delivery.
    void deliver_from_upstream(std::size_t index, event input)
    {
        if (auto const* const child = std::get_if<call_received>(&input))
            child_calls_.emplace(
                child->call_.value(), std::pair(index, child->parent_));
        schedule_.after(
            absl::Microseconds(50),
            [this, index, input = std::move(input)] { deliver(index, input); });
    }

    mesh_settings const settings_;
    random_source random_;
    event_schedule schedule_;
    fake_platform platform_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::vector<std::unique_ptr<call_record>> call_records_;
    /// Node index and execution that made each unanswered child call, by call
    /// number.
    std::map<std::uint64_t, std::pair<std::size_t, execution_id>> child_calls_;
    std::shared_ptr<policy_document const> policy_;
    std::set<std::string> isolated_domains_;
    /// Open connections between daemons, as pairs of the node indices of sender
    /// and receiver.
    std::set<std::pair<std::size_t, std::size_t>> connections_;
    std::uint64_t last_incarnation_{};
    call_ended_function on_call_ended_;
    std::function<void(std::size_t, action const&)> on_action_;
};

} // namespace samphire::fake
