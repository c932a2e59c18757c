#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "topologies.hpp"

namespace samphire::bench
{

/// Measures how one slow upstream changes latencies and extra attempts: one of
/// the six upstreams of the service slots becomes ten times slower and does not
/// report that. Only daemons of other services are entries, so that every
/// attempt is a message between daemons, which the run counts.
template <policies Policies>
void measure_straggler(
    std::string const& name,
    std::string const& policy,
    bool cut_off,
    std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(5);
    constexpr absl::Duration end = absl::Seconds(35);
    // Six upstreams with ten slots and 40 ms run 1,500 requests/s. The domain
    // that is cut off has one healthy upstream of two, which runs 250
    // requests/s, and serves the callers of four of the ten entries.
    double const rate_per_s = cut_off ? 400 : 750;
    std::vector<mesh_node> nodes;
    add_service(
        nodes,
        {"tas-a", "tas-b", "tas-c"},
        6,
        {service_name("slots"), 10, absl::Milliseconds(40)});
    std::vector<std::size_t> entries;
    for (mesh_node const& node : cooperative_topology())
    {
        if (node.model_.service_.value() == "slots")
            continue;
        entries.push_back(nodes.size());
        nodes.push_back(node);
    }
    load_plan const plan{
        .routes_ = {{.service_ = "slots", .route_ = "find"}},
        .phases_ = {{end, rate_per_s}},
        .entries_ = entries};
    // The reference is a run without the slow upstream, in which no domain is
    // cut off.
    auto const run_with = [&](double slowdown_factor, bool is_cut_off)
    {
        open_loop_run<Policies> run(nodes, plan, seed);
        run.at(
            begin,
            [&run, slowdown_factor, is_cut_off]
            {
                run.mesh().upstream(0).set_slowdown(slowdown_factor);
                if (is_cut_off)
                    run.mesh().cut("tas-a");
            });
        return run.run();
    };
    load_result const without_fault = run_with(1, false);
    load_result const with_fault = run_with(10, cut_off);
    latency_summary const latency_without_fault =
        without_fault.latencies(begin, end, 0, plan.routes_[0].timeout_);
    latency_summary const latency_with_fault =
        with_fault.latencies(begin, end, 0, plan.routes_[0].timeout_);
    print_latency(name + "_even", policy, latency_without_fault);
    print_latency(name + "_uneven", policy, latency_with_fault);
    print(
        {name + "_p99",
         policy,
         absl::FDivDuration(
             latency_with_fault.p99_, latency_without_fault.p99_),
         "ratio",
         "<=1.5"});
    print(
        {name + "_extra_attempts",
         policy,
         static_cast<double>(with_fault.peer_attempts()) /
                 static_cast<double>(with_fault.requests().size()) -
             1,
         "ratio",
         "<=0.02"});
    print(
        {name + "_completed",
         policy,
         with_fault.completed_ratio(begin, end),
         "ratio"});
}

} // namespace samphire::bench
