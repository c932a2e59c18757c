#pragma once

#include <cstddef>

namespace samphire
{

/// Number of latencies, and their quantiles in milliseconds, computed from all
/// values.
struct latency_summary
{
    std::size_t const count_{};
    double const p50_{};
    double const p95_{};
    double const p99_{};
    double const max_{};

    friend bool
    operator==(latency_summary const&, latency_summary const&) = default;
};

} // namespace samphire
