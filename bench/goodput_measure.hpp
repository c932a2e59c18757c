#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

namespace samphire::bench
{

/// Whole requests at twice the capacity against at capacity; important work
/// and wasted work at twice the capacity.
template <policies Policies>
void measure_goodput(
    std::string const& policy, site const& where, std::uint64_t seed)
{
    constexpr absl::Duration begin = absl::Seconds(4);
    constexpr absl::Duration end = absl::Seconds(14);
    auto const run_at = [&](double load)
    {
        load_plan const plan{where.routes_, {{end, load * where.capacity_}}};
        return open_loop_run<Policies>(where.nodes_, plan, seed).run();
    };
    load_result const at_capacity = run_at(1);
    load_result const doubled = run_at(2);
    double const usual = at_capacity.goodput(begin, end);
    double const loaded = doubled.goodput(begin, end);
    std::string const suffix = "_" + where.name_;
    print({"rate_1x" + suffix, policy, usual, "requests/s"});
    print({"rate_2x" + suffix, policy, loaded, "requests/s"});
    print({"goodput" + suffix, policy, loaded / usual, "ratio", ">=0.95"});
    print(
        {"important_completed" + suffix,
         policy,
         doubled.completed_share(begin, end, important_route),
         "ratio",
         ">=0.99"});
    print(
        {"wasted_work" + suffix,
         policy,
         doubled.wasted_share(begin, end),
         "ratio",
         "<=0.03"});
}

} // namespace samphire::bench
