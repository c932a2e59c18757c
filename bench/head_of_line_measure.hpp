#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "topologies.hpp"

namespace samphire::bench
{

/// p99 of short work with 5% long work of 100 times its length against the
/// same short work alone, at 60% of the slots of photos.
template <policies Policies>
void measure_head_of_line(std::string const& policy, std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(10);
    constexpr absl::Duration end = absl::Seconds(40);
    constexpr double long_part = 0.05;
    constexpr absl::Duration short_time = absl::Milliseconds(10);
    absl::Duration const long_time = 100 * short_time;
    constexpr double slots = 60;
    constexpr double load = 0.85;
    double const rate =
        load * slots /
        absl::ToDoubleSeconds(
            short_time * (1 - long_part) + long_time * long_part);
    load_route const short_route{
        .service_ = "photos", .route_ = "view", .share_ = 1 - long_part};
    load_route const long_route{
        .service_ = "photos",
        .route_ = "upload",
        .share_ = long_part,
        .work_class_ = work_class::long_work,
        .timeout_ = absl::Seconds(5)};
    auto const run_with = [&](load_plan const& plan)
    {
        open_loop_run<Policies> run(cooperative_topology(), plan, seed);
        run.set_service_time("upload", long_time);
        return run.run();
    };
    load_result const alone =
        run_with({{short_route}, {{end, rate * (1 - long_part)}}});
    load_result const mixed =
        run_with({{short_route, long_route}, {{end, rate}}});
    latency_summary const before =
        alone.latencies(begin, end, 0, short_route.timeout_);
    latency_summary const with_long =
        mixed.latencies(begin, end, 0, short_route.timeout_);
    print_latency("short_alone", policy, before);
    print_latency("short_mixed", policy, with_long);
    print_latency(
        "long_mixed",
        policy,
        mixed.latencies(begin, end, 1, long_route.timeout_));
    print(
        {"head_of_line",
         policy,
         absl::FDivDuration(with_long.p99_, before.p99_),
         "ratio",
         "<=1.5"});
    print(
        {"head_of_line_long_share",
         policy,
         mixed.completed_share(begin, end, 1),
         "ratio",
         ">=0.8"});
    print(
        {"head_of_line_short_completed",
         policy,
         mixed.completed_share(begin, end, 0),
         "ratio"});
}

} // namespace samphire::bench
