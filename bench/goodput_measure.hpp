#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

namespace samphire::bench
{

/// Compares the goodput under a load of twice the capacity with the goodput
/// under a load equal to the capacity. For twice the capacity, also prints the
/// ratios of completed important requests and of wasted service time.
template <policies Policies>
void measure_goodput(
    std::string const& policy, site const& tested_site, std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(4);
    constexpr absl::Duration end = absl::Seconds(14);
    auto const run_at_load = [&](double load_ratio)
    {
        load_plan const plan{
            tested_site.routes_,
            {{end, load_ratio * tested_site.capacity_per_s_}}};
        return open_loop_run<Policies>(tested_site.nodes_, plan, seed).run();
    };
    load_result const at_capacity = run_at_load(1);
    load_result const at_double_capacity = run_at_load(2);
    double const capacity_goodput = at_capacity.goodput(begin, end);
    double const overload_goodput = at_double_capacity.goodput(begin, end);
    std::string const suffix = "_" + tested_site.name_;
    print({"rate_1x" + suffix, policy, capacity_goodput, "requests/s"});
    print({"rate_2x" + suffix, policy, overload_goodput, "requests/s"});
    print(
        {"goodput" + suffix,
         policy,
         overload_goodput / capacity_goodput,
         "ratio",
         ">=0.95"});
    print(
        {"important_completed" + suffix,
         policy,
         at_double_capacity.completed_ratio(begin, end, important_route),
         "ratio",
         ">=0.99"});
    print(
        {"wasted_work" + suffix,
         policy,
         at_double_capacity.wasted_service_time_ratio(begin, end),
         "ratio",
         "<=0.03"});
}

} // namespace samphire::bench
