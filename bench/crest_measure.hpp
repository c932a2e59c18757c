#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

#include <algorithm>

namespace samphire::bench
{

/// The load rises tenfold within one second, from half of the capacity.
template <policies Policies>
void measure_crest(
    std::string const& policy, site const& where, std::uint64_t seed)
{
    constexpr absl::Duration step = absl::Seconds(4);
    constexpr absl::Duration end = absl::Seconds(14);
    double const usual = 0.5 * where.capacity_;
    std::vector<load_phase> phases{{step, usual}};
    // The rise, in ten steps of 100 ms.
    for (int part = 1; part <= 10; ++part)
        phases.push_back({absl::Milliseconds(100), usual * part});
    absl::Duration const risen = step + absl::Seconds(1);
    phases.push_back({end - risen, 10 * usual});
    load_result const result =
        open_loop_run<Policies>(where.nodes_, {where.routes_, phases}, seed)
            .run();
    std::string const suffix = "_" + where.name_;
    print(
        {"crest_important" + suffix,
         policy,
         result.completed_share(step, end, important_route),
         "ratio",
         ">=0.99"});
    // More was offered than can run, so the lower of the two bounds, the level
    // before, would hide a loss: the capacity is the reference.
    absl::Duration const settled = risen + absl::Seconds(1);
    print(
        {"crest_goodput" + suffix,
         policy,
         result.goodput(settled, settled + absl::Seconds(1)) / where.capacity_,
         "ratio",
         ">=0.95"});
    print(
        {"crest_goodput_first_second" + suffix,
         policy,
         result.goodput(risen, settled) / where.capacity_,
         "ratio"});
    print(
        {"crest_wasted" + suffix,
         policy,
         result.wasted_share(step, end),
         "ratio"});
}

} // namespace samphire::bench
