#pragma once

#include "policy/policy_codec.hpp"
#include "scenario/run_observations.hpp"
#include "scenario/scenario_plan.hpp"
#include "virtual_mesh.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace samphire::scenario
{

/// Injects the faults of a scenario into a virtual mesh. Records killed,
/// stopped and leaving daemons in run_observations.
template <policies Policies>
class fault_injector
{
public:
    fault_injector(
        scenario_plan const& plan,
        fake::virtual_mesh<Policies>& mesh,
        run_observations& observations)
        : plan_(plan), mesh_(mesh), observations_(observations)
    {
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
            inject_node(fault, observations_.node_indices_.at(fault.target_));
    }

    void write_policy(policy_document const& document)
    {
        mesh_.platform().put(
            object_name("policy"), payload(format_policy(document)));
        observations_.highest_written_revision_ = std::max(
            observations_.highest_written_revision_, document.revision_);
    }

private:
    static std::string option_value(
        fault_setup const& fault,
        std::string const& name,
        std::string const& default_value)
    {
        auto const found = fault.options_.find(name);
        return found == fault.options_.end() ? default_value : found->second;
    }

    static absl::Duration duration_option(
        fault_setup const& fault,
        std::string const& name,
        std::string const& default_value)
    {
        absl::Duration value;
        absl::ParseDuration(option_value(fault, name, default_value), &value);
        return value;
    }

    void inject_platform(fault_setup const& fault)
    {
        if (fault.target_ == "out" || fault.target_ == "ok")
            mesh_.platform().set_unavailable(fault.target_ == "out");
        if (fault.options_.contains("lost"))
            mesh_.platform().set_lost_answer_percent(
                static_cast<unsigned>(std::stoul(fault.options_.at("lost"))));
        if (fault.options_.contains("slow"))
            mesh_.platform().set_latency(duration_option(fault, "slow", "3ms"));
    }

    /// Writes a policy document as an operator does. The platform does not
    /// check the revision, so a lower one models a store that was restored from
    /// a backup.
    void write_document(fault_setup const& fault)
    {
        std::vector<daemon_id> leaving_daemons;
        if (fault.options_.contains("leaving"))
        {
            std::size_t const index =
                observations_.node_indices_.at(fault.options_.at("leaving"));
            leaving_daemons.push_back(
                daemon_id("node-" + std::to_string(index)));
            observations_.leaving_since_[index] = mesh_.now();
        }
        write_policy(
            {.revision_ =
                 revision(std::stoull(option_value(fault, "revision", "2"))),
             .retries_ = plan_.policy_.retries_,
             .services_ = plan_.policy_.services_,
             .leaving_ = leaving_daemons});
    }

    void inject_node(fault_setup const& fault, std::size_t index)
    {
        std::string const& verb = fault.verb_;
        if (verb == "kill" || verb == "restart")
            end_daemon(index, verb == "restart");
        else if (verb == "freeze")
            mesh_.pause(index, duration_option(fault, "for", "5s"));
        else if (verb == "drain")
        {
            observations_.leaving_since_[index] = mesh_.now();
            mesh_.deliver(index, drain_requested{});
        }
        else if (verb == "stop")
        {
            observations_.leaving_since_[index] = mesh_.now();
            observations_.graceful_stops_.push_back({index, mesh_.now()});
            mesh_.deliver(index, shutdown_requested{});
        }
        else
            inject_upstream(fault, index);
    }

    void end_daemon(std::size_t index, bool restart)
    {
        observations_.kill_times_[index].push_back(mesh_.now());
        observations_.highest_revisions_[index] = revision();
        observations_.leaving_since_.erase(index);
        if (restart)
            mesh_.restart(index);
        else
            mesh_.kill(index);
    }

    void inject_upstream(fault_setup const& fault, std::size_t index)
    {
        fake::fake_upstream& upstream = mesh_.upstream(index);
        std::string const& verb = fault.verb_;
        if (verb == "slow")
            upstream.set_slowdown(
                std::stod(option_value(fault, "factor", "10")));
        else if (verb == "crash-on")
            upstream.crash_on(
                option_value(fault, "body", "crash"),
                duration_option(fault, "restart", "500ms"));
        else if (verb == "crash")
            upstream.crash(duration_option(fault, "restart", "500ms"));
        else
            ++observations_.unknown_verbs_;
    }

    scenario_plan const& plan_;
    fake::virtual_mesh<Policies>& mesh_;
    run_observations& observations_;
};

} // namespace samphire::scenario
