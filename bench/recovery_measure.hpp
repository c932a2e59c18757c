#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

namespace samphire::bench
{

constexpr absl::Duration recovery_trigger_begin = absl::Seconds(3);
constexpr absl::Duration recovery_trigger_end = absl::Seconds(8);
/// End of the run. If the ratio of completed requests has not recovered by this
/// time, the reported recovery time is 20 s.
constexpr absl::Duration recovery_run_end = absl::Seconds(28);
/// Load before and after the trigger, as a ratio of the capacity.
constexpr double recovery_load_ratio = 0.7;

inline void print_recovery_time(
    std::string const& name,
    std::string const& policy,
    load_result const& result)
{
    absl::Duration const time =
        result.recovery_time(recovery_trigger_end, recovery_run_end, 0.95);
    print({name, policy, absl::ToDoubleSeconds(time), "s", "<=2"});
}

/// Measures the recovery time after the bottleneck service has been five times
/// slower for 5 s.
template <policies Policies>
void measure_slow_bottleneck(
    std::string const& policy, site const& tested_site, std::uint64_t seed)
{
    load_plan const plan{
        tested_site.routes_,
        {{recovery_run_end,
          recovery_load_ratio * tested_site.capacity_per_s_}}};
    open_loop_run<Policies> run(tested_site.nodes_, plan, seed);
    auto const set_bottleneck_slowdown = [&run, &tested_site](double factor)
    {
        for (std::size_t i = 0; i < tested_site.nodes_.size(); ++i)
        {
            if (tested_site.nodes_[i].model_.service_.value() ==
                tested_site.bottleneck_service_)
                run.mesh().upstream(i).set_slowdown(factor);
        }
    };
    run.at(recovery_trigger_begin, [&] { set_bottleneck_slowdown(5); });
    run.at(recovery_trigger_end, [&] { set_bottleneck_slowdown(1); });
    print_recovery_time(
        "recovery_slow_deep_" + tested_site.name_, policy, run.run());
}

/// Measures the recovery time after the load has been three times the capacity
/// for 5 s. Callers resend a failed request at most `max_resends` times.
template <policies Policies>
void measure_surge(
    std::string const& name,
    std::string const& policy,
    site const& tested_site,
    unsigned max_resends,
    std::uint64_t seed)
{
    double const normal_rate_per_s =
        recovery_load_ratio * tested_site.capacity_per_s_;
    load_plan const plan{
        .routes_ = tested_site.routes_,
        .phases_ =
            {{recovery_trigger_begin, normal_rate_per_s},
             {recovery_trigger_end - recovery_trigger_begin,
              3 * tested_site.capacity_per_s_},
             {recovery_run_end - recovery_trigger_end, normal_rate_per_s}},
        .max_resends_ = max_resends};
    print_recovery_time(
        name + "_" + tested_site.name_,
        policy,
        open_loop_run<Policies>(tested_site.nodes_, plan, seed).run());
}

template <policies Policies>
void measure_recovery(
    std::string const& policy, site const& tested_site, std::uint64_t seed)
{
    constexpr unsigned aggressive_resends = 10;
    measure_slow_bottleneck<Policies>(policy, tested_site, seed);
    measure_surge<Policies>("recovery_surge", policy, tested_site, 0, seed);
    measure_surge<Policies>(
        "recovery_resend", policy, tested_site, aggressive_resends, seed);
}

} // namespace samphire::bench
