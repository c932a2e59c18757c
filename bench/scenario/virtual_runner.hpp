#pragma once

#include "scenario/fault_injector.hpp"
#include "scenario/figure_collector.hpp"
#include "scenario/run_observations.hpp"
#include "scenario/scenario_plan.hpp"
#include "virtual_mesh.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <string>

namespace samphire::scenario
{

/// Runs one scenario once in virtual time and returns its figures.
template <policies Policies>
class virtual_runner
{
public:
    virtual_runner(scenario_plan const& plan, std::uint64_t seed)
        : plan_(plan),
          mesh_(fake::mesh_settings{
              .seed_ = seed,
              .datagram_loss_percent_ = plan.datagram_loss_percent_,
              .datagram_repeat_percent_ = plan.datagram_repeat_percent_}),
          faults_(plan_, mesh_, observations_)
    {
    }

    figure_list run()
    {
        mesh_.on_action([this](std::size_t index, action const& output)
                        { observe_action(index, output); });
        mesh_.on_call_ended([this](fake::call_record const& record)
                            { handle_call_ended(record); });
        faults_.write_policy(plan_.policy_);
        for (node_setup const& node : plan_.nodes_)
            observations_.node_indices_[node.name_] =
                mesh_.add_node(node.domain_, node.upstream_);
        mesh_.run_for(plan_.settle_duration_);
        start_ = mesh_.now();
        for (load_setup const& load : plan_.loads_)
            schedule_load(load);
        for (fault_setup const& fault : plan_.faults_)
            schedule_fault(fault);
        check_revisions();
        mesh_.run_for(plan_.duration_ + drain_duration);
        return figure_collector<Policies>(plan_, mesh_, observations_)
            .collect();
    }

private:
    /// Time after the end of the scenario in which outstanding answers still
    /// arrive.
    static constexpr absl::Duration drain_duration = absl::Seconds(15);
    /// A request that starts at the upstream of a leaving daemon within this
    /// time is not counted in starts_after_leaving_.
    static constexpr absl::Duration leaving_grace_duration = absl::Seconds(3);
    static constexpr absl::Duration revision_check_interval =
        absl::Milliseconds(100);

    double random_ratio()
    {
        return static_cast<double>(mesh_.random()() % 1000) / 1000.0;
    }

    void schedule_load(load_setup const& load)
    {
        auto const request_count = static_cast<std::size_t>(std::lround(
            load.rate_per_s_ * absl::ToDoubleSeconds(load.to_ - load.from_)));
        for (std::size_t i = 0; i < request_count; ++i)
        {
            double const arrival = static_cast<double>(i) + random_ratio();
            mesh_.schedule().at(
                start_ + load.from_ + absl::Seconds(arrival / load.rate_per_s_),
                [this, &load, i] { send_new_request(load, i); });
        }
    }

    void send_new_request(load_setup const& load, std::size_t entry_position)
    {
        std::string const body =
            load.body_.empty()
                ? load.route_ + "-" + std::to_string(++unique_body_count_)
                : load.body_;
        send(load, body, entry_position, load.max_resends_, std::nullopt);
    }

    void send(
        load_setup const& load,
        std::string const& body,
        std::size_t entry_position,
        unsigned resends_left,
        std::optional<execution_ticket> const& ticket)
    {
        std::size_t const entry =
            observations_.entry_index_of(load, entry_position);
        if (!mesh_.alive(entry))
        {
            resend_later(load, body, entry_position, resends_left, ticket);
            return;
        }
        // Stores the sent_call under the number that call() will return,
        // because the answer may arrive before call() returns.
        observations_.sent_calls_.emplace(
            mesh_.records().size() + 1,
            sent_call{&load, resends_left, entry_position});
        mesh_.call(
            entry,
            load.service_,
            load.route_,
            body,
            load.timeout_,
            ticket,
            load.resend_ == resend_mode::key ? "key-" + body : "");
    }

    void resend_later(
        load_setup const& load,
        std::string const& body,
        std::size_t entry_position,
        unsigned resends_left,
        std::optional<execution_ticket> const& ticket)
    {
        if (resends_left == 0)
            return;
        mesh_.schedule().after(
            load.resend_delay_,
            [this, &load, body, entry_position, resends_left, ticket] {
                send(load, body, entry_position + 1, resends_left - 1, ticket);
            });
    }

    void handle_call_ended(fake::call_record const& record)
    {
        auto const found =
            observations_.sent_calls_.find(record.call().call_.value());
        answer_caller const& answer = *record.answer();
        if (found == observations_.sent_calls_.end() ||
            answer.outcome_ == call_outcome::completed)
            return;
        sent_call const& sent = found->second;
        load_setup const& load = *sent.load_;
        bool const by_ticket = load.resend_ == resend_mode::ticket;
        bool const must_resend = by_ticket ? answer.ticket_.has_value()
                                           : load.resend_ != resend_mode::none;
        if (must_resend)
            resend_later(
                load,
                record.call().body_.bytes(),
                sent.entry_position_,
                sent.resends_left_,
                by_ticket ? answer.ticket_ : std::nullopt);
    }

    void schedule_fault(fault_setup const& fault)
    {
        mesh_.schedule().at(
            start_ + fault.time_ + random_ratio() * fault.max_random_delay_,
            [this, &fault] { faults_.inject(fault); });
    }

    void observe_action(std::size_t index, action const& output)
    {
        if (auto const* const sent = std::get_if<send_to_peer>(&output))
        {
            auto const* const request =
                std::get_if<execute_request>(&sent->message_);
            if (request)
                ++observations_.attempts_[request->context_.request_]
                                         [request->context_.depth_];
        }
        bool const has_started_work =
            std::holds_alternative<start_at_upstream>(output);
        auto const leaving = observations_.leaving_since_.find(index);
        if (has_started_work && leaving != observations_.leaving_since_.end() &&
            mesh_.now() > leaving->second + leaving_grace_duration)
            ++observations_.starts_after_leaving_;
    }

    void check_revisions()
    {
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            if (!mesh_.alive(index))
                continue;
            revision const current_revision =
                mesh_.daemon(index).policy().revision_;
            revision& highest_revision =
                observations_.highest_revisions_[index];
            if (current_revision < highest_revision)
                ++observations_.reverted_revisions_;
            highest_revision = std::max(highest_revision, current_revision);
        }
        mesh_.schedule().after(
            revision_check_interval, [this] { check_revisions(); });
    }

    scenario_plan const& plan_;
    fake::virtual_mesh<Policies> mesh_;
    run_observations observations_;
    fault_injector<Policies> faults_;
    absl::Time start_{};
    std::uint64_t unique_body_count_{};
};

} // namespace samphire::scenario
