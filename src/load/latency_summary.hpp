#pragma once

#include <cstddef>

namespace samphire
{

/// Number and quantiles of the latencies of one route; the quantiles are exact,
/// since they are computed from all latencies.
struct latency_summary
{
    std::size_t const count_{};
    double const p50_ms_{};
    double const p95_ms_{};
    double const p99_ms_{};
    double const highest_ms_{};

    friend bool
    operator==(latency_summary const&, latency_summary const&) = default;
};

} // namespace samphire
