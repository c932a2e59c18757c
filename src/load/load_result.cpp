#include "load/load_result.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace samphire
{

namespace
{

double counted_seconds(load_plan const& plan)
{
    return absl::ToDoubleSeconds(
        plan.arrival_duration_ - plan.warm_up_duration_);
}

double goodput_per_s(load_plan const& plan, route_record const& record)
{
    return static_cast<double>(record.count(load_outcome::whole)) /
           counted_seconds(plan);
}

} // namespace

std::string format_load_table(
    load_plan const& plan, std::vector<route_record> const& records)
{
    std::string table = fmt::format(
        "{:28} {:>9} {:>10} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
        "route",
        "arrivals",
        "goodput/s",
        "whole",
        "not_run",
        "unknown",
        "p50_ms",
        "p99_ms",
        "max_ms");
    for (std::size_t n = 0; n < records.size(); ++n)
    {
        route_record const& record = records[n];
        latency_summary const latency = record.latency();
        table += fmt::format(
            "{:28} {:>9} {:>10.1f} {:>8} {:>8} {:>8} {:>9.3f} {:>9.3f} "
            "{:>9.3f}\n",
            plan.mix_[n].target_,
            record.arrivals(),
            goodput_per_s(plan, record),
            record.count(load_outcome::whole),
            record.count(load_outcome::not_run),
            record.count(load_outcome::unknown),
            latency.p50_ms_,
            latency.p99_ms_,
            latency.highest_ms_);
    }
    return table;
}

std::string format_load_json(
    load_plan const& plan,
    std::vector<route_record> const& records,
    recovery_record const& recovery)
{
    nlohmann::json routes = nlohmann::json::array();
    for (std::size_t n = 0; n < records.size(); ++n)
    {
        route_share const& share = plan.mix_[n];
        latency_summary const latency = records[n].latency();
        nlohmann::json outcomes;
        for (std::size_t o = 0; o < load_outcome_count; ++o)
            outcomes[load_outcome_names[o]] =
                records[n].count(static_cast<load_outcome>(o));
        routes.push_back(
            {{"route", share.target_},
             {"important", share.importance_ == route_importance::important},
             {"long", share.length_ == route_length::long_work},
             {"arrivals", records[n].arrivals()},
             {"resends", records[n].resends()},
             {"goodput_per_second", goodput_per_s(plan, records[n])},
             {"outcomes", outcomes},
             {"latency_ms",
              {{"count", latency.count_},
               {"p50", latency.p50_ms_},
               {"p95", latency.p95_ms_},
               {"p99", latency.p99_ms_},
               {"max", latency.highest_ms_}}}});
    }
    nlohmann::json result{
        {"seed", plan.seed_},
        {"seconds", counted_seconds(plan)},
        {"routes", routes}};
    if (plan.fault_end_offset_)
    {
        auto const time = recovery.recovery_time(*plan.fault_end_offset_);
        if (time)
            result["recovery_ms"] = absl::ToDoubleMilliseconds(*time);
        else
            result["recovery_ms"] = nullptr;
    }
    return result.dump() + "\n";
}

} // namespace samphire
