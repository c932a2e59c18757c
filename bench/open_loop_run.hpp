#pragma once

#include "load_plan.hpp"
#include "load_result.hpp"
#include "mesh_node.hpp"
#include "virtual_mesh.hpp"

#include <absl/strings/numbers.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace samphire::bench
{

/// Runs a virtual mesh with one set of compile-time strategies under an
/// open-loop load: requests arrive with random spacing at the rate of their
/// phase and do not wait for the answers of earlier requests.
template <policies Policies>
class open_loop_run
{
public:
    open_loop_run(
        std::vector<mesh_node> const& nodes,
        load_plan const& plan,
        std::uint64_t seed)
        : plan_(plan),
          mesh_(fake::mesh_settings{
              .seed_ = seed, .load_report_delay_ = absl::Seconds(5)}),
          random_(seed + 7)
    {
        for (mesh_node const& node : nodes)
            add_mesh_node(node);
        mesh_.set_policy(make_policy());
        mesh_.on_call_ended([this](fake::call_record const& record)
                            { handle_call_ended(record); });
        mesh_.on_action([this](std::size_t, action const& output)
                        { count_peer_attempt(output); });
        mesh_.run_for(join_duration);
        start_ = mesh_.now();
    }

    fake::virtual_mesh<Policies>& mesh()
    {
        return mesh_;
    }

    /// Runs `function` when `time` has passed since the start of the load.
    void at(absl::Duration time, std::function<void()> function)
    {
        mesh_.schedule().at(start_ + time, std::move(function));
    }

    /// Replaces the service time of one route; other routes keep the service
    /// time of the upstream model.
    void set_service_time(std::string const& route, absl::Duration time)
    {
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            absl::Duration const model_time =
                mesh_.upstream(index).model().service_time_;
            mesh_.upstream(index).set_service_time(
                [route, time, model_time](
                    start_at_upstream const& work, random_source& random)
                {
                    bool const is_replaced_route = work.route_.value() == route;
                    return vary_by_half(
                        is_replaced_route ? time : model_time, random);
                });
        }
    }

    load_result run()
    {
        absl::Duration phase_begin = absl::ZeroDuration();
        for (load_phase const& phase : plan_.phases_)
        {
            schedule_arrivals(
                phase_begin, phase_begin + phase.length_, phase.rate_per_s_);
            phase_begin += phase.length_;
        }
        mesh_.schedule().run_until(start_ + phase_begin + drain_duration);
        return load_result(requests_, peer_attempts_);
    }

private:
    /// Time before the load starts, in which all daemons discover each other.
    static constexpr absl::Duration join_duration = absl::Seconds(20);
    static constexpr absl::Duration drain_duration = absl::Seconds(8);

    /// Returns a random time, uniform between 0.5 and 1.5 times the mean.
    static absl::Duration
    vary_by_half(absl::Duration mean, random_source& random)
    {
        return mean * std::uniform_real_distribution<double>(0.5, 1.5)(random);
    }

    void add_mesh_node(mesh_node const& node)
    {
        std::size_t const index = mesh_.add_node(node.domain_, node.model_);
        fake::fake_upstream& upstream = mesh_.upstream(index);
        upstream.set_service_time(
            [mean = node.model_.service_time_](
                start_at_upstream const&, random_source& random)
            { return vary_by_half(mean, random); });
        upstream.on_work_ended(
            [this](start_at_upstream const& work, absl::Duration time)
            {
                std::size_t request_index = 0;
                if (absl::SimpleAtoi(work.body_.bytes(), &request_index))
                    requests_[request_index].add_service_time(time);
            });
        node_indices_by_service_.insert({node.model_.service_.value(), index});
    }

    /// Returns a policy document in which every service has all routes of the
    /// load, because child calls keep the route of their request.
    std::shared_ptr<policy_document const> make_policy() const
    {
        std::vector<route_policy> routes;
        for (load_route const& route : plan_.routes_)
            routes.push_back(
                {.route_ = route_name(route.route_),
                 .importance_ = route.importance_,
                 .unrepeatable_ = route.unrepeatable_,
                 .work_class_ = route.work_class_});
        std::vector<service_policy> services;
        for (auto const& [name, index] : node_indices_by_service_)
            services.push_back({service_name(name), routes});
        return std::make_shared<policy_document const>(
            policy_document{.revision_ = revision(1), .services_ = services});
    }

    void schedule_arrivals(
        absl::Duration time, absl::Duration end, double rate_per_s)
    {
        if (time >= end)
            return;
        at(time,
           [this, time, end, rate_per_s]
           {
               send_new_request();
               // The spacing varies only by half, so that windows of equal
               // length contain nearly equal numbers of requests.
               absl::Duration const spacing =
                   vary_by_half(absl::Seconds(1) / rate_per_s, random_);
               schedule_arrivals(time + spacing, end, rate_per_s);
           });
    }

    void send_new_request()
    {
        std::size_t const entry =
            plan_.entries_.empty()
                ? random_() % mesh_.size()
                : plan_.entries_[random_() % plan_.entries_.size()];
        requests_.emplace_back(
            choose_route_index(), entry, mesh_.now() - start_);
        send(requests_.size() - 1);
    }

    std::size_t choose_route_index()
    {
        double remaining_ratio =
            std::uniform_real_distribution<double>()(random_);
        for (std::size_t i = 0; i + 1 < plan_.routes_.size(); ++i)
        {
            remaining_ratio -= plan_.routes_[i].ratio_;
            if (remaining_ratio < 0)
                return i;
        }
        return plan_.routes_.size() - 1;
    }

    void send(std::size_t request_index)
    {
        measured_request const& request = requests_[request_index];
        load_route const& route = plan_.routes_[request.route()];
        // The answer may arrive before call() returns.
        request_indices_.push_back(request_index);
        mesh_.call(
            request.entry(),
            route.service_,
            route.route_,
            std::to_string(request_index),
            route.timeout_);
    }

    void handle_call_ended(fake::call_record const& record)
    {
        std::size_t const request_index =
            request_indices_[record.call().call_.value() - 1];
        measured_request& request = requests_[request_index];
        answer_caller const& answer = *record.answer();
        if (answer.outcome_ == call_outcome::completed && answer.status_ == 200)
        {
            request.complete(mesh_.now() - start_);
            return;
        }
        if (request.resends() >= plan_.max_resends_)
            return;
        request.add_resend();
        mesh_.schedule().after(
            resend_delay, [this, request_index] { send(request_index); });
    }

    void count_peer_attempt(action const& output)
    {
        auto const* const sent = std::get_if<send_to_peer>(&output);
        if (sent && std::holds_alternative<execute_request>(sent->message_))
            ++peer_attempts_;
    }

    /// Network latency of the answer to the caller plus that of the resent
    /// request.
    static constexpr absl::Duration resend_delay = absl::Milliseconds(16);

    load_plan const plan_;
    fake::virtual_mesh<Policies> mesh_;
    random_source random_;
    absl::Time start_;
    std::map<std::string, std::size_t> node_indices_by_service_;
    std::vector<measured_request> requests_;
    /// Index into requests_ of the request that each call of the mesh sent. The
    /// element at position n is that of call number n + 1.
    std::vector<std::size_t> request_indices_;
    std::uint64_t peer_attempts_{};
};

} // namespace samphire::bench
