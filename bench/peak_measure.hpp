#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

#include <algorithm>

namespace samphire::bench
{

/// Measures a load peak: the load rises tenfold within one second, from half of
/// the capacity.
template <policies Policies>
void measure_peak(
    std::string const& policy, site const& tested_site, std::uint64_t seed)
{
    constexpr absl::Duration rise_begin = absl::Seconds(4);
    constexpr absl::Duration end = absl::Seconds(14);
    double const normal_rate_per_s = 0.5 * tested_site.capacity_per_s_;
    std::vector<load_phase> phases{{rise_begin, normal_rate_per_s}};
    // The load rises in ten steps of 100 ms.
    for (int rise_step = 1; rise_step <= 10; ++rise_step)
        phases.push_back(
            {absl::Milliseconds(100), normal_rate_per_s * rise_step});
    absl::Duration const rise_end = rise_begin + absl::Seconds(1);
    phases.push_back({end - rise_end, 10 * normal_rate_per_s});
    load_result const result =
        open_loop_run<Policies>(
            tested_site.nodes_, {tested_site.routes_, phases}, seed)
            .run();
    std::string const suffix = "_" + tested_site.name_;
    print(
        {"crest_important" + suffix,
         policy,
         result.completed_ratio(rise_begin, end, important_route),
         "ratio",
         ">=0.99"});
    // Goodput is compared with the capacity. The load before the peak is only
    // half of the capacity, so a comparison with it would hide a loss.
    absl::Duration const first_second_end = rise_end + absl::Seconds(1);
    print(
        {"crest_goodput" + suffix,
         policy,
         result.goodput(first_second_end, first_second_end + absl::Seconds(1)) /
             tested_site.capacity_per_s_,
         "ratio",
         ">=0.95"});
    print(
        {"crest_goodput_first_second" + suffix,
         policy,
         result.goodput(rise_end, first_second_end) /
             tested_site.capacity_per_s_,
         "ratio"});
    print(
        {"crest_wasted" + suffix,
         policy,
         result.wasted_service_time_ratio(rise_begin, end),
         "ratio"});
}

} // namespace samphire::bench
