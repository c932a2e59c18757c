#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "topologies.hpp"

namespace samphire::bench
{

/// Compares the p99 latency of short requests mixed with 5% of requests that
/// take 100 times as long with that of the same short requests alone. The mixed
/// load needs 85% of the 60 slots of the service photos.
template <policies Policies>
void measure_head_of_line(std::string const& policy, std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(10);
    constexpr absl::Duration end = absl::Seconds(40);
    constexpr double long_ratio = 0.05;
    constexpr absl::Duration short_service_time = absl::Milliseconds(10);
    absl::Duration const long_service_time = 100 * short_service_time;
    constexpr double total_slots = 60;
    constexpr double slot_load_ratio = 0.85;
    double const rate_per_s = slot_load_ratio * total_slots /
                              absl::ToDoubleSeconds(
                                  short_service_time * (1 - long_ratio) +
                                  long_service_time * long_ratio);
    load_route const short_route{
        .service_ = "photos", .route_ = "view", .ratio_ = 1 - long_ratio};
    load_route const long_route{
        .service_ = "photos",
        .route_ = "upload",
        .ratio_ = long_ratio,
        .work_class_ = work_class::long_work,
        .timeout_ = absl::Seconds(5)};
    auto const run_with = [&](load_plan const& plan)
    {
        open_loop_run<Policies> run(cooperative_topology(), plan, seed);
        run.set_service_time("upload", long_service_time);
        return run.run();
    };
    load_result const alone_result =
        run_with({{short_route}, {{end, rate_per_s * (1 - long_ratio)}}});
    load_result const mixed_result =
        run_with({{short_route, long_route}, {{end, rate_per_s}}});
    latency_summary const alone_latency =
        alone_result.latencies(begin, end, 0, short_route.timeout_);
    latency_summary const mixed_latency =
        mixed_result.latencies(begin, end, 0, short_route.timeout_);
    print_latency("short_alone", policy, alone_latency);
    print_latency("short_mixed", policy, mixed_latency);
    print_latency(
        "long_mixed",
        policy,
        mixed_result.latencies(begin, end, 1, long_route.timeout_));
    print(
        {"head_of_line",
         policy,
         absl::FDivDuration(mixed_latency.p99_, alone_latency.p99_),
         "ratio",
         "<=1.5"});
    print(
        {"head_of_line_long_share",
         policy,
         mixed_result.completed_ratio(begin, end, 1),
         "ratio",
         ">=0.8"});
    print(
        {"head_of_line_short_completed",
         policy,
         mixed_result.completed_ratio(begin, end, 0),
         "ratio"});
}

} // namespace samphire::bench
