#pragma once

#include "measure_line.hpp"
#include "open_loop_run.hpp"
#include "sites.hpp"

namespace samphire::bench
{

constexpr absl::Duration recovery_trigger_begin = absl::Seconds(3);
constexpr absl::Duration recovery_trigger_end = absl::Seconds(8);
/// A run that is still down here is reported as 20 s.
constexpr absl::Duration recovery_run_end = absl::Seconds(28);
/// Part of the capacity that is offered before and after the trigger.
constexpr double recovery_load = 0.7;

inline void print_recovery(
    std::string const& name,
    std::string const& policy,
    load_result const& result)
{
    absl::Duration const time =
        result.recovery_time(recovery_trigger_end, recovery_run_end, 0.95);
    print({name, policy, absl::ToDoubleSeconds(time), "s", "<=2"});
}

/// The deepest service is five times slower for a while.
template <policies Policies>
void measure_slow_deep(
    std::string const& policy, site const& where, std::uint64_t seed)
{
    load_plan const plan{
        where.routes_, {{recovery_run_end, recovery_load * where.capacity_}}};
    open_loop_run<Policies> run(where.nodes_, plan, seed);
    auto const slow_down = [&run, &where](double factor)
    {
        for (std::size_t i = 0; i < where.nodes_.size(); ++i)
        {
            if (where.nodes_[i].model_.service_.value() == where.deepest_)
                run.mesh().upstream(i).set_slowdown(factor);
        }
    };
    run.at(recovery_trigger_begin, [&] { slow_down(5); });
    run.at(recovery_trigger_end, [&] { slow_down(1); });
    print_recovery("recovery_slow_deep_" + where.name_, policy, run.run());
}

/// The load is three times the capacity for a while. With `resends` callers
/// send each failed request again up to that often.
template <policies Policies>
void measure_surge(
    std::string const& name,
    std::string const& policy,
    site const& where,
    unsigned resends,
    std::uint64_t seed)
{
    double const usual = recovery_load * where.capacity_;
    load_plan const plan{
        .routes_ = where.routes_,
        .phases_ =
            {{recovery_trigger_begin, usual},
             {recovery_trigger_end - recovery_trigger_begin,
              3 * where.capacity_},
             {recovery_run_end - recovery_trigger_end, usual}},
        .resends_ = resends};
    print_recovery(
        name + "_" + where.name_,
        policy,
        open_loop_run<Policies>(where.nodes_, plan, seed).run());
}

template <policies Policies>
void measure_recovery(
    std::string const& policy, site const& where, std::uint64_t seed)
{
    constexpr unsigned aggressive_resends = 10;
    measure_slow_deep<Policies>(policy, where, seed);
    measure_surge<Policies>("recovery_surge", policy, where, 0, seed);
    measure_surge<Policies>(
        "recovery_resend", policy, where, aggressive_resends, seed);
}

} // namespace samphire::bench
