#pragma once

#include "base/text.hpp"
#include "policy/policy_index.hpp"
#include "scenario/figure_list.hpp"
#include "scenario/run_observations.hpp"
#include "scenario/scenario_plan.hpp"
#include "virtual_mesh.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <string>

namespace samphire::scenario
{

/// Computes the figures that a scenario's expectations refer to, after the run
/// has ended.
template <policies Policies>
class figure_collector
{
public:
    figure_collector(
        scenario_plan const& plan,
        fake::virtual_mesh<Policies>& mesh,
        run_observations const& observations)
        : policy_index_(std::make_shared<policy_document const>(plan.policy_)),
          mesh_(mesh), observations_(observations)
    {
    }

    figure_list collect()
    {
        for (char const* const name :
             {"calls",
              "lost",
              "completed",
              "wrong_answers",
              "failed_status",
              "not_run",
              "unknown",
              "cut_by_stop",
              "extra_answers",
              "double_runs",
              "false_not_run"})
            figures_[name] = 0;
        for (auto const& record : mesh_.records())
            count_call(*record);
        count_runs();
        collect_daemon_figures();
        collect_extra_attempts();
        if (figures_["calls"] > 0)
            figures_["completed_share"] =
                figures_["completed"] / figures_["calls"];
        set_ratio("critical_share", critical_completed_, critical_calls_);
        set_ratio("innocent_share", innocent_completed_, innocent_calls_);
        return figures_;
    }

private:
    void set_ratio(char const* name, unsigned completed, unsigned calls)
    {
        if (calls > 0)
            figures_[name] = static_cast<double>(completed) / calls;
    }

    void count_call(fake::call_record const& record)
    {
        call_received const& call = record.call();
        std::string const work = call.service_.value() + " " +
                                 call.route_.value() + " " + call.body_.bytes();
        answer_caller const* const answer = record.answer();
        bool const not_run =
            answer && answer->outcome_ == call_outcome::not_run;
        bool const completed =
            answer && answer->outcome_ == call_outcome::completed;
        figures_["calls"] += 1;
        figures_["extra_answers"] += record.extra_answers();
        auto const [position, added] = always_not_run_.emplace(work, true);
        position->second = position->second && not_run;
        count_call_groups(record, completed);
        if (answer)
            count_outcome(record, *answer);
        else
            figures_["lost"] += entry_was_killed(record) ? 0 : 1;
    }

    void
    count_outcome(fake::call_record const& record, answer_caller const& answer)
    {
        if (answer.outcome_ == call_outcome::completed)
        {
            std::string const& body = record.call().body_.bytes();
            bool const is_correct = answer.body_.bytes() == "ok " + body;
            figures_["completed"] += 1;
            figures_["wrong_answers"] += is_correct ? 0 : 1;
            figures_["failed_status"] += answer.status_ == 200 ? 0 : 1;
        }
        bool const is_unknown = answer.outcome_ == call_outcome::unknown;
        figures_["not_run"] += answer.outcome_ == call_outcome::not_run ? 1 : 0;
        figures_["unknown"] += is_unknown ? 1 : 0;
        figures_["cut_by_stop"] +=
            is_unknown && overlaps_graceful_stop(record) ? 1 : 0;
        absl::Duration const delay_past_deadline =
            record.answered_at() - record.sent_at() - record.call().timeout_;
        figures_["late_ms_max"] = std::max(
            figures_["late_ms_max"],
            absl::ToDoubleMilliseconds(delay_past_deadline));
    }

    bool overlaps_graceful_stop(fake::call_record const& record) const
    {
        return std::any_of(
            observations_.graceful_stops_.begin(),
            observations_.graceful_stops_.end(),
            [&](graceful_stop const& stop)
            {
                return record.sent_at() <= stop.time_ &&
                       record.answered_at() >= stop.time_;
            });
    }

    /// Counts the call if its route is critical, and if the call is innocent.
    /// An innocent call has a unique body, which cannot match the body of a
    /// crash-on fault.
    void count_call_groups(fake::call_record const& record, bool completed)
    {
        call_received const& call = record.call();
        bool const is_critical =
            policy_index_.find(call.service_, call.route_).importance_ ==
            importance::critical;
        critical_calls_ += is_critical;
        critical_completed_ += is_critical && completed;
        auto const found = observations_.sent_calls_.find(call.call_.value());
        bool const is_innocent = found != observations_.sent_calls_.end() &&
                                 found->second.load_->body_.empty();
        innocent_calls_ += is_innocent;
        innocent_completed_ += is_innocent && completed;
    }

    bool entry_was_killed(fake::call_record const& record) const
    {
        auto const found =
            observations_.sent_calls_.find(record.call().call_.value());
        if (found == observations_.sent_calls_.end())
            return false;
        sent_call const& sent = found->second;
        auto const kill_times = observations_.kill_times_.find(
            observations_.entry_index_of(*sent.load_, sent.entry_position_));
        return kill_times != observations_.kill_times_.end() &&
               std::any_of(
                   kill_times->second.begin(),
                   kill_times->second.end(),
                   [&](absl::Time at) {
                       return at >= record.sent_at() &&
                              at <= record.answered_at();
                   });
    }

    void count_runs()
    {
        for (auto const& [work, count] : mesh_.runs())
        {
            auto const parts = split(work, ' ');
            route_policy const& route = policy_index_.find(
                service_name(std::string(parts[0])),
                route_name(std::string(parts[1])));
            if (route.unrepeatable_ && count > 1)
                figures_["double_runs"] += 1;
            auto const reported = always_not_run_.find(work);
            if (reported != always_not_run_.end() && reported->second)
                figures_["false_not_run"] += 1;
        }
    }

    void collect_daemon_figures()
    {
        double crashes = 0;
        double outdated_daemons = 0;
        for (std::size_t i = 0; i < mesh_.size(); ++i)
        {
            crashes += mesh_.upstream(i).crashes();
            bool const is_outdated =
                mesh_.alive(i) && mesh_.daemon(i).policy().revision_ !=
                                      observations_.highest_written_revision_;
            outdated_daemons += is_outdated ? 1 : 0;
        }
        figures_["crashes"] = crashes;
        figures_["revision_behind"] = outdated_daemons;
        figures_["reverted"] = observations_.reverted_revisions_;
        figures_["work_after_leaving"] = observations_.starts_after_leaving_;
        figures_["unknown_verbs"] = observations_.unknown_verbs_;
    }

    /// Computes the highest number of extra attempts of a request. A request
    /// calls one service at each depth of its call chain, so each
    /// execute_request message of a depth after the first is an extra attempt.
    void collect_extra_attempts()
    {
        double highest_extra_attempts = 0;
        for (auto const& [request, depths] : observations_.attempts_)
        {
            double extra_attempts = 0;
            for (auto const& [depth, count] : depths)
                extra_attempts += count - 1;
            highest_extra_attempts =
                std::max(highest_extra_attempts, extra_attempts);
        }
        figures_["extra_attempts_max"] = highest_extra_attempts;
    }

    policy_index const policy_index_;
    fake::virtual_mesh<Policies>& mesh_;
    run_observations const& observations_;
    figure_list figures_;
    /// Whether all calls of a request so far were answered not_run, by
    /// "service route body".
    std::map<std::string, bool> always_not_run_;
    unsigned critical_calls_{};
    unsigned critical_completed_{};
    unsigned innocent_calls_{};
    unsigned innocent_completed_{};
};

} // namespace samphire::scenario
