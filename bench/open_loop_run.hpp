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

/// One run of one set of policies under an open-loop load in virtual time.
/// Requests arrive at a steady rate with random spacing, whatever the answers.
template <policies Policies>
class open_loop_run
{
public:
    open_loop_run(
        std::vector<mesh_node> const& nodes,
        load_plan const& plan,
        std::uint64_t seed)
        : plan_(plan), mesh_(fake::mesh_settings{
                           .seed_ = seed, .report_delay_ = absl::Seconds(5)}),
          random_(seed + 7)
    {
        for (mesh_node const& node : nodes)
            add(node);
        mesh_.set_policy(document());
        mesh_.on_call_ended([this](fake::caller_record const& record)
                            { ended(record); });
        mesh_.on_action([this](std::size_t, action const& decided)
                        { count(decided); });
        mesh_.run_for(join_time);
        start_ = mesh_.now();
    }

    fake::virtual_mesh<Policies>& mesh()
    {
        return mesh_;
    }

    /// Runs `function` at a time of the load.
    void at(absl::Duration time, std::function<void()> function)
    {
        mesh_.schedule().at(start_ + time, std::move(function));
    }

    /// Replaces the service time of one route; others keep that of the model.
    void set_service_time(std::string const& route, absl::Duration time)
    {
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            absl::Duration const usual =
                mesh_.upstream(index).model().service_time_;
            mesh_.upstream(index).set_service_time(
                [route, time, usual](
                    start_at_upstream const& work, random_source& random)
                {
                    bool const replaced = work.route_.value() == route;
                    return varied(replaced ? time : usual, random);
                });
        }
    }

    load_result run()
    {
        absl::Duration begin = absl::ZeroDuration();
        for (load_phase const& phase : plan_.phases_)
        {
            arrive(begin, begin + phase.length_, phase.rate_);
            begin += phase.length_;
        }
        mesh_.schedule().run_until(start_ + begin + drain_time);
        return load_result(requests_, peer_attempts_);
    }

private:
    /// Until every daemon knows every other.
    static constexpr absl::Duration join_time = absl::Seconds(20);
    static constexpr absl::Duration drain_time = absl::Seconds(8);

    /// Uniform between half and one and a half times the mean.
    static absl::Duration varied(absl::Duration mean, random_source& random)
    {
        return mean * std::uniform_real_distribution<double>(0.5, 1.5)(random);
    }

    void add(mesh_node const& node)
    {
        std::size_t const index = mesh_.add_node(node.domain_, node.model_);
        fake::fake_upstream& upstream = mesh_.upstream(index);
        upstream.set_service_time(
            [mean = node.model_.service_time_](
                start_at_upstream const&, random_source& random)
            { return varied(mean, random); });
        upstream.on_work_ended(
            [this](start_at_upstream const& work, absl::Duration time)
            {
                std::size_t number = 0;
                if (absl::SimpleAtoi(work.body_.bytes(), &number))
                    requests_[number].spend(time);
            });
        services_.insert({node.model_.service_.value(), index});
    }

    /// Each route of the load exists at every service, for the calls of
    /// upstreams.
    std::shared_ptr<policy_document const> document() const
    {
        std::vector<route_policy> routes;
        for (load_route const& route : plan_.routes_)
            routes.push_back(
                {.route_ = route_name(route.route_),
                 .importance_ = route.importance_,
                 .unrepeatable_ = route.unrepeatable_,
                 .work_class_ = route.work_class_});
        std::vector<service_policy> services;
        for (auto const& [name, index] : services_)
            services.push_back({service_name(name), routes});
        return std::make_shared<policy_document const>(
            policy_document{.revision_ = revision(1), .services_ = services});
    }

    void arrive(absl::Duration time, absl::Duration end, double rate)
    {
        if (time >= end)
            return;
        at(time,
           [this, time, end, rate]
           {
               send_new();
               // Spacing varies by half, so that windows of equal length see
               // nearly equal numbers.
               absl::Duration const spacing =
                   varied(absl::Seconds(1) / rate, random_);
               arrive(time + spacing, end, rate);
           });
    }

    void send_new()
    {
        std::size_t const entry =
            plan_.entries_.empty()
                ? random_() % mesh_.size()
                : plan_.entries_[random_() % plan_.entries_.size()];
        requests_.emplace_back(choose_route(), entry, mesh_.now() - start_);
        send(requests_.size() - 1);
    }

    std::size_t choose_route()
    {
        double left = std::uniform_real_distribution<double>()(random_);
        for (std::size_t i = 0; i + 1 < plan_.routes_.size(); ++i)
        {
            left -= plan_.routes_[i].share_;
            if (left < 0)
                return i;
        }
        return plan_.routes_.size() - 1;
    }

    void send(std::size_t number)
    {
        measured_request const& request = requests_[number];
        load_route const& route = plan_.routes_[request.route()];
        // An answer may arrive before call() returns its number.
        numbers_.push_back(number);
        mesh_.call(
            request.entry(),
            route.service_,
            route.route_,
            std::to_string(number),
            route.timeout_);
    }

    void ended(fake::caller_record const& record)
    {
        std::size_t const number = numbers_[record.call().call_.value() - 1];
        measured_request& request = requests_[number];
        answer_caller const& answer = *record.answer();
        if (answer.outcome_ == call_outcome::completed && answer.status_ == 200)
        {
            request.complete(mesh_.now() - start_);
            return;
        }
        if (request.resends() >= plan_.resends_)
            return;
        request.add_resend();
        mesh_.schedule().after(resend_delay, [this, number] { send(number); });
    }

    void count(action const& decided)
    {
        auto const* const sent = std::get_if<send_to_peer>(&decided);
        if (sent && std::holds_alternative<execute_request>(sent->message_))
            ++peer_attempts_;
    }

    /// Way to the caller and back.
    static constexpr absl::Duration resend_delay = absl::Milliseconds(16);

    load_plan const plan_;
    fake::virtual_mesh<Policies> mesh_;
    random_source random_;
    absl::Time start_;
    std::map<std::string, std::size_t> services_;
    std::vector<measured_request> requests_;
    /// Request of each call that was sent.
    std::vector<std::size_t> numbers_;
    std::uint64_t peer_attempts_{};
};

} // namespace samphire::bench
