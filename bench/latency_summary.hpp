#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace samphire::bench
{

/// Percentiles, maximum and number of the latencies of a set of requests.
struct latency_summary
{
    absl::Duration const p50_{};
    absl::Duration const p99_{};
    absl::Duration const max_{};
    std::size_t const count_{};

    static latency_summary of(std::vector<absl::Duration> latencies)
    {
        if (latencies.empty())
            return {};
        std::sort(latencies.begin(), latencies.end());
        auto const percentile = [&](double ratio)
        {
            auto const index = static_cast<std::size_t>(
                ratio * static_cast<double>(latencies.size() - 1));
            return latencies[index];
        };
        return {
            percentile(0.5),
            percentile(0.99),
            latencies.back(),
            latencies.size()};
    }

    friend bool
    operator==(latency_summary const&, latency_summary const&) = default;
};

} // namespace samphire::bench
