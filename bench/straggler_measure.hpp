#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "topologies.hpp"

namespace samphire::bench
{

/// One of the six upstreams of slots is ten times slower, unannounced, from
/// the start of the measured time. Entries are the daemons of other services,
/// so every attempt is a message that is counted.
template <policies Policies>
void measure_straggler(
    std::string const& name,
    std::string const& policy,
    bool cut_off,
    std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(5);
    constexpr absl::Duration end = absl::Seconds(35);
    // Six upstreams of ten slots and 40 ms run 1,500 requests/s. Cut off, a
    // domain with one healthy upstream of its two carries 250 requests/s of
    // its callers, four of the ten entries.
    double const rate = cut_off ? 400 : 750;
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
        .phases_ = {{end, rate}},
        .entries_ = entries};
    // Compared with a run that has neither straggler nor cut.
    auto const run_with = [&](double slowdown, bool cut)
    {
        open_loop_run<Policies> run(nodes, plan, seed);
        run.at(
            begin,
            [&run, slowdown, cut]
            {
                run.mesh().upstream(0).set_slowdown(slowdown);
                if (cut)
                    run.mesh().cut("tas-a");
            });
        return run.run();
    };
    load_result const even = run_with(1, false);
    load_result const uneven = run_with(10, cut_off);
    latency_summary const before =
        even.latencies(begin, end, 0, plan.routes_[0].timeout_);
    latency_summary const after =
        uneven.latencies(begin, end, 0, plan.routes_[0].timeout_);
    print_latency(name + "_even", policy, before);
    print_latency(name + "_uneven", policy, after);
    print(
        {name + "_p99",
         policy,
         absl::FDivDuration(after.p99_, before.p99_),
         "ratio",
         "<=1.5"});
    print(
        {name + "_extra_attempts",
         policy,
         static_cast<double>(uneven.peer_attempts()) /
                 static_cast<double>(uneven.requests().size()) -
             1,
         "ratio",
         "<=0.02"});
    print(
        {name + "_completed",
         policy,
         uneven.completed_share(begin, end),
         "ratio"});
}

} // namespace samphire::bench
