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

/// Carries out the faults of a scenario in a virtual mesh.
template <policies Policies>
class fault_injector
{
public:
    fault_injector(
        scenario_plan const& plan,
        fake::virtual_mesh<Policies>& mesh,
        run_observations& seen)
        : plan_(plan), mesh_(mesh), seen_(seen)
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
            inject_node(fault, seen_.nodes_.at(fault.target_));
    }

    void write_policy(policy_document const& document)
    {
        mesh_.platform().put(
            object_name("policy"), payload(format_policy(document)));
        seen_.newest_ = std::max(seen_.newest_, document.revision_);
    }

private:
    static std::string option(
        fault_setup const& fault,
        std::string const& name,
        std::string const& otherwise)
    {
        auto const found = fault.options_.find(name);
        return found == fault.options_.end() ? otherwise : found->second;
    }

    static absl::Duration duration(
        fault_setup const& fault,
        std::string const& name,
        std::string const& otherwise)
    {
        absl::Duration value;
        absl::ParseDuration(option(fault, name, otherwise), &value);
        return value;
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
            std::size_t const index =
                seen_.nodes_.at(fault.options_.at("leaving"));
            leaving.push_back(daemon_id("node-" + std::to_string(index)));
            seen_.leaving_since_[index] = mesh_.now();
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
            end_daemon(index, verb == "restart");
        else if (verb == "freeze")
            mesh_.freeze(index, duration(fault, "for", "5s"));
        else if (verb == "drain")
        {
            seen_.leaving_since_[index] = mesh_.now();
            mesh_.deliver(index, drain_requested{});
        }
        else if (verb == "stop")
        {
            seen_.leaving_since_[index] = mesh_.now();
            seen_.stops_.push_back({index, mesh_.now()});
            mesh_.deliver(index, shutdown_requested{});
        }
        else
            inject_upstream(fault, index);
    }

    void end_daemon(std::size_t index, bool restart)
    {
        seen_.kills_[index].push_back(mesh_.now());
        seen_.highest_[index] = revision();
        seen_.leaving_since_.erase(index);
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
            upstream.set_slowdown(std::stod(option(fault, "factor", "10")));
        else if (verb == "crash-on")
            upstream.crash_on(
                option(fault, "body", "crash"),
                duration(fault, "restart", "500ms"));
        else if (verb == "crash")
            upstream.crash(duration(fault, "restart", "500ms"));
        else
            ++seen_.unknown_verbs_;
    }

    scenario_plan const& plan_;
    fake::virtual_mesh<Policies>& mesh_;
    run_observations& seen_;
};

} // namespace samphire::scenario
