#pragma once

#include "base/text.hpp"
#include "policy/policy_codec.hpp"
#include "scenario/figure_list.hpp"
#include "scenario/scenario_plan.hpp"
#include "virtual_mesh.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphire::scenario
{

/// Runs one scenario once in virtual time and measures it.
template <policies Policies>
class virtual_runner
{
public:
    virtual_runner(scenario_plan const& plan, std::uint64_t seed)
        : plan_(plan),
          mesh_(fake::mesh_settings{
              .seed_ = seed,
              .datagram_loss_percent_ = plan.datagram_loss_percent_,
              .datagram_repeat_percent_ = plan.datagram_repeat_percent_})
    {
    }

    figure_list run()
    {
        mesh_.on_action([this](std::size_t index, action const& decided)
                        { observe(index, decided); });
        mesh_.on_call_ended([this](fake::caller_record const& record)
                            { on_ended(record); });
        write_policy(plan_.policy_);
        for (node_setup const& node : plan_.nodes_)
            names_[node.name_] = mesh_.add_node(node.domain_, node.upstream_);
        kills_.resize(mesh_.size());
        highest_.resize(mesh_.size());
        mesh_.run_for(plan_.settle_);
        start_ = mesh_.now();
        for (load_setup const& load : plan_.loads_)
            schedule_load(load);
        for (fault_setup const& fault : plan_.faults_)
            schedule_fault(fault);
        watch_revisions();
        mesh_.run_for(plan_.duration_ + drain_time);
        return figures();
    }

private:
    /// After the scenario, for answers that are still to come.
    static constexpr absl::Duration drain_time = absl::Seconds(15);
    /// A leaving upstream may get work for this long.
    static constexpr absl::Duration leaving_time = absl::Seconds(3);

    struct sent_call
    {
        load_setup const* load_{};
        unsigned resends_left_{};
        std::size_t entry_{};
        std::string key_;
    };

    void write_policy(policy_document const& document)
    {
        mesh_.platform().put(
            object_name("policy"), payload(format_policy(document)));
        newest_ = std::max(newest_, document.revision_);
    }

    void schedule_load(load_setup const& load)
    {
        auto const count = static_cast<std::size_t>(std::lround(
            load.rate_ * absl::ToDoubleSeconds(load.to_ - load.from_)));
        for (std::size_t i = 0; i < count; ++i)
        {
            double const jitter =
                static_cast<double>(mesh_.random()() % 1000) / 1000.0;
            absl::Duration const at =
                load.from_ +
                absl::Seconds((static_cast<double>(i) + jitter) / load.rate_);
            mesh_.schedule().at(
                start_ + at,
                [this, &load, i]
                {
                    std::string const body =
                        load.body_.empty()
                            ? load.route_ + "-" + std::to_string(++bodies_)
                            : load.body_;
                    send(load, body, i, load.resends_, std::nullopt);
                });
        }
    }

    void send(
        load_setup const& load,
        std::string const& body,
        std::size_t turn,
        unsigned resends_left,
        std::optional<execution_ticket> const& ticket)
    {
        std::size_t const entry = entry_of(load, turn);
        std::string const key =
            load.resend_ == resend_mode::key ? "key-" + body : "";
        if (!mesh_.alive(entry))
        {
            resend_later(load, body, turn, resends_left, ticket);
            return;
        }
        // Numbers are given in order, so the state can be kept before the
        // call, which may be answered at once.
        std::uint64_t const number = mesh_.records().size() + 1;
        sent_[number] = {&load, resends_left, turn, key};
        mesh_.call(
            entry,
            load.service_,
            load.route_,
            body,
            load.timeout_,
            ticket,
            key);
    }

    std::size_t entry_of(load_setup const& load, std::size_t turn) const
    {
        if (load.entries_.empty())
            return turn % plan_.nodes_.size();
        return names_.at(load.entries_[turn % load.entries_.size()]);
    }

    void resend_later(
        load_setup const& load,
        std::string const& body,
        std::size_t turn,
        unsigned resends_left,
        std::optional<execution_ticket> const& ticket)
    {
        if (resends_left == 0)
            return;
        mesh_.schedule().after(
            load.resend_after_,
            [this,
             &load,
             body,
             turn,
             resends_left,
             held = ticket ? std::make_shared<execution_ticket const>(*ticket)
                           : nullptr]
            {
                std::optional<execution_ticket> const again =
                    held ? std::optional<execution_ticket>(*held)
                         : std::nullopt;
                send(load, body, turn + 1, resends_left - 1, again);
            });
    }

    void on_ended(fake::caller_record const& record)
    {
        auto const found = sent_.find(record.call().call_.value());
        answer_caller const& answer = *record.answer();
        if (found == sent_.end() || answer.outcome_ == call_outcome::completed)
            return;
        sent_call const& sent = found->second;
        load_setup const& load = *sent.load_;
        bool const has_ticket = answer.ticket_.has_value();
        bool const resend = load.resend_ == resend_mode::key ||
                            load.resend_ == resend_mode::same ||
                            (load.resend_ == resend_mode::ticket && has_ticket);
        if (!resend)
            return;
        resend_later(
            load,
            record.call().body_.bytes(),
            sent.entry_,
            sent.resends_left_,
            load.resend_ == resend_mode::ticket ? answer.ticket_
                                                : std::nullopt);
    }

    void schedule_fault(fault_setup const& fault)
    {
        double const part =
            static_cast<double>(mesh_.random()() % 1000) / 1000.0;
        mesh_.schedule().at(
            start_ + fault.at_ + part * fault.spread_,
            [this, &fault] { inject(fault); });
    }

    std::string
    option(fault_setup const& fault, std::string const& name, std::string other)
    {
        auto const found = fault.options_.find(name);
        return found == fault.options_.end() ? other : found->second;
    }

    absl::Duration duration(
        fault_setup const& fault, std::string const& name, std::string other)
    {
        absl::Duration value;
        absl::ParseDuration(option(fault, name, other), &value);
        return value;
    }

    void inject(fault_setup const& fault)
    {
        std::string const& verb = fault.verb_;
        if (verb == "cut")
            mesh_.cut(fault.target_);
        else if (verb == "heal")
            mesh_.heal(fault.target_);
        else if (verb == "platform")
            inject_platform(fault);
        else if (verb == "document")
            write_document(fault);
        else
            inject_node(fault, names_.at(fault.target_));
    }

    void inject_platform(fault_setup const& fault)
    {
        if (fault.target_ == "out" || fault.target_ == "ok")
            mesh_.platform().set_out(fault.target_ == "out");
        if (fault.options_.contains("lost"))
            mesh_.platform().set_lost_answers(
                static_cast<unsigned>(std::stoul(fault.options_.at("lost"))));
        if (fault.options_.contains("slow"))
            mesh_.platform().set_latency(duration(fault, "slow", "3ms"));
    }

    /// An operator's document. The version check is the operator's own, so a
    /// lower revision models a store that was restored from a backup.
    void write_document(fault_setup const& fault)
    {
        std::vector<daemon_id> leaving;
        if (fault.options_.contains("leaving"))
        {
            std::size_t const index = names_.at(fault.options_.at("leaving"));
            leaving.push_back(daemon_id("node-" + std::to_string(index)));
            leaving_since_[index] = mesh_.now();
        }
        write_policy(
            {.revision_ = revision(std::stoull(option(fault, "revision", "2"))),
             .retries_ = plan_.policy_.retries_,
             .services_ = plan_.policy_.services_,
             .leaving_ = leaving});
    }

    void inject_node(fault_setup const& fault, std::size_t index)
    {
        std::string const& verb = fault.verb_;
        if (verb == "kill" || verb == "restart")
        {
            kills_[index].push_back(mesh_.now());
            highest_[index] = revision();
            leaving_since_.erase(index);
            verb == "kill" ? mesh_.kill(index) : mesh_.restart(index);
        }
        else if (verb == "freeze")
            mesh_.freeze(index, duration(fault, "for", "5s"));
        else if (verb == "drain")
        {
            leaving_since_[index] = mesh_.now();
            mesh_.deliver(index, drain_requested{});
        }
        else if (verb == "stop")
        {
            leaving_since_[index] = mesh_.now();
            stops_.push_back({index, mesh_.now()});
            mesh_.deliver(index, shutdown_requested{});
        }
        else if (verb == "slow")
            mesh_.upstream(index).set_slowdown(
                std::stod(option(fault, "factor", "10")));
        else if (verb == "crash-on")
            mesh_.upstream(index).crash_on(
                option(fault, "body", "crash"),
                duration(fault, "restart", "500ms"));
        else if (verb == "crash")
            mesh_.upstream(index).crash(duration(fault, "restart", "500ms"));
        else
            ++unknown_verbs_;
    }

    void observe(std::size_t index, action const& decided)
    {
        if (auto const* const sent = std::get_if<send_to_peer>(&decided))
        {
            auto const* const request =
                std::get_if<execute_request>(&sent->message_);
            if (request)
                count_attempt(*request);
        }
        bool const started = std::holds_alternative<start_at_upstream>(decided);
        auto const leaving = leaving_since_.find(index);
        if (started && leaving != leaving_since_.end() &&
            mesh_.now() > leaving->second + leaving_time)
            ++work_after_leaving_;
    }

    /// Attempts of a request beyond the first for each of its depths. Every
    /// service of a scenario is called once at its depth.
    void count_attempt(execute_request const& request)
    {
        ++attempts_[request.context_.request_][request.context_.depth_];
    }

    void watch_revisions()
    {
        for (std::size_t index = 0; index < mesh_.size(); ++index)
        {
            if (!mesh_.alive(index))
                continue;
            revision const now_held = mesh_.daemon(index).policy().revision_;
            if (now_held < highest_[index])
                ++reverted_;
            highest_[index] = std::max(highest_[index], now_held);
        }
        mesh_.schedule().after(
            absl::Milliseconds(100), [this] { watch_revisions(); });
    }

    bool entry_was_killed(fake::caller_record const& record)
    {
        auto const found = sent_.find(record.call().call_.value());
        if (found == sent_.end())
            return false;
        std::size_t const entry =
            entry_of(*found->second.load_, found->second.entry_);
        return std::any_of(
            kills_[entry].begin(),
            kills_[entry].end(),
            [&](absl::Time at)
            { return at >= record.sent() && at <= record.answered(); });
    }

    figure_list figures()
    {
        figure_list result;
        std::map<std::string, bool> only_not_run;
        for (auto const& held : mesh_.records())
        {
            fake::caller_record const& record = *held;
            std::string const work = record.call().service_.value() + " " +
                                     record.call().route_.value() + " " +
                                     record.call().body_.bytes();
            answer_caller const* const answer = record.answer();
            result["calls"] += 1;
            result["extra_answers"] += record.extra_answers();
            auto const [entry, added] = only_not_run.emplace(work, true);
            if (!answer)
            {
                entry->second = false;
                result["lost"] += entry_was_killed(record) ? 0 : 1;
                continue;
            }
            entry->second =
                entry->second && answer->outcome_ == call_outcome::not_run;
            count_outcome(record, *answer, result);
            count_critical(record, *answer);
            count_innocent(record, *answer);
        }
        result["bodies"] = static_cast<double>(only_not_run.size());
        count_runs(only_not_run, result);
        count_rest(result);
        return result;
    }

    void count_outcome(
        fake::caller_record const& record,
        answer_caller const& answer,
        figure_list& result)
    {
        if (answer.outcome_ == call_outcome::completed)
        {
            result["completed"] += 1;
            std::string const& body = record.call().body_.bytes();
            bool const whole = answer.body_.bytes() == "ok " + body;
            result["wrong_answers"] += whole ? 0 : 1;
            result["failed_status"] += answer.status_ == 200 ? 0 : 1;
        }
        result["not_run"] += answer.outcome_ == call_outcome::not_run ? 1 : 0;
        result["unknown"] += answer.outcome_ == call_outcome::unknown ? 1 : 0;
        absl::Duration const late =
            record.answered() - record.sent() - record.call().timeout_;
        result["late_ms_max"] =
            std::max(result["late_ms_max"], absl::ToDoubleMilliseconds(late));
        bool const cut = answer.outcome_ == call_outcome::unknown &&
                         std::any_of(
                             stops_.begin(),
                             stops_.end(),
                             [&](auto const& stop) {
                                 return record.sent() <= stop.second &&
                                        record.answered() >= stop.second;
                             });
        result["cut_by_stop"] += cut ? 1 : 0;
    }

    /// Calls of the routes that operators marked as critical.
    void count_critical(
        fake::caller_record const& record, answer_caller const& answer)
    {
        importance const level =
            index_.find(record.call().service_, record.call().route_)
                .importance_;
        if (level != importance::critical)
            return;
        ++critical_calls_;
        critical_completed_ += answer.outcome_ == call_outcome::completed;
    }

    /// Calls whose body is their own, so that no crash of theirs is expected.
    void count_innocent(
        fake::caller_record const& record, answer_caller const& answer)
    {
        auto const found = sent_.find(record.call().call_.value());
        if (found == sent_.end() || !found->second.load_->body_.empty())
            return;
        ++innocent_calls_;
        innocent_completed_ += answer.outcome_ == call_outcome::completed;
    }

    void count_runs(
        std::map<std::string, bool> const& only_not_run, figure_list& result)
    {
        result["double_runs"] += 0;
        result["false_not_run"] += 0;
        for (auto const& [work, count] : mesh_.runs())
        {
            auto const parts = split(work, ' ');
            route_policy const& route = index_.find(
                service_name(std::string(parts[0])),
                route_name(std::string(parts[1])));
            if (route.unrepeatable_ && count > 1)
                result["double_runs"] += 1;
            auto const told = only_not_run.find(work);
            if (told != only_not_run.end() && told->second)
                result["false_not_run"] += 1;
        }
    }

    void count_rest(figure_list& result)
    {
        result["unknown_verbs"] = unknown_verbs_;
        result["work_after_leaving"] = work_after_leaving_;
        result["reverted"] = reverted_;
        double crashes = 0;
        double behind = 0;
        for (std::size_t i = 0; i < mesh_.size(); ++i)
        {
            crashes += mesh_.upstream(i).crashes();
            if (mesh_.alive(i) && mesh_.daemon(i).policy().revision_ != newest_)
                ++behind;
        }
        result["crashes"] = crashes;
        result["revision_behind"] = behind;
        double most = 0;
        for (auto const& [request, depths] : attempts_)
        {
            double extra = 0;
            for (auto const& [depth, count] : depths)
                extra += count - 1;
            most = std::max(most, extra);
        }
        result["extra_attempts_max"] = most;
        for (char const* const name :
             {"calls",
              "lost",
              "completed",
              "wrong_answers",
              "failed_status",
              "not_run",
              "unknown",
              "cut_by_stop",
              "extra_answers"})
            result[name] += 0;
        if (innocent_calls_ > 0)
            result["innocent_share"] =
                static_cast<double>(innocent_completed_) / innocent_calls_;
        if (critical_calls_ > 0)
            result["critical_share"] =
                static_cast<double>(critical_completed_) / critical_calls_;
        if (result["calls"] > 0)
            result["completed_share"] = result["completed"] / result["calls"];
    }

    scenario_plan const& plan_;
    policy_index const index_{
        std::make_shared<policy_document const>(plan_.policy_)};
    fake::virtual_mesh<Policies> mesh_;
    absl::Time start_{};
    std::map<std::string, std::size_t> names_;
    std::map<std::uint64_t, sent_call> sent_;
    std::uint64_t bodies_{};
    std::vector<std::vector<absl::Time>> kills_;
    std::vector<std::pair<std::size_t, absl::Time>> stops_;
    std::map<std::size_t, absl::Time> leaving_since_;
    std::map<request_id, std::map<std::uint32_t, unsigned>> attempts_;
    std::vector<revision> highest_;
    revision newest_{};
    unsigned work_after_leaving_{};
    unsigned reverted_{};
    unsigned unknown_verbs_{};
    unsigned critical_calls_{};
    unsigned critical_completed_{};
    unsigned innocent_calls_{};
    unsigned innocent_completed_{};
};

} // namespace samphire::scenario
