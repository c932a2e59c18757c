#pragma once

#include "latency_summary.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace samphire::bench
{

/// Measured value of one set of compile-time strategies, printed as a line of
/// key=value pairs.
struct measure_line
{
    std::string const measure_{};
    std::string const policy_{};
    double const value_{};
    std::string const unit_{};
    /// Target of the value, such as ">=0.95"; "none" if the value has no target
    /// and only explains another measured value.
    std::string const target_{"none"};

    friend bool operator==(measure_line const&, measure_line const&) = default;
};

inline void print(measure_line const& line)
{
    fmt::print(
        "measure={} policy={} value={:.4f} unit={} target={}\n",
        line.measure_,
        line.policy_,
        line.value_,
        line.unit_,
        line.target_);
    std::fflush(stdout);
}

/// Prints p50, p99, maximum and number of the latencies, one line each.
inline void print_latency(
    std::string const& name,
    std::string const& policy,
    latency_summary const& latency)
{
    auto const line = [&](std::string const& statistic, absl::Duration value)
    {
        print(
            {name + "_" + statistic,
             policy,
             absl::ToDoubleMilliseconds(value),
             "ms"});
    };
    line("p50", latency.p50_);
    line("p99", latency.p99_);
    line("max", latency.max_);
    print(
        {name + "_count",
         policy,
         static_cast<double>(latency.count_),
         "requests"});
}

} // namespace samphire::bench
