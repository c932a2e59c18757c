#pragma once

#include "forwarding/rate_limit.hpp"

#include <cstdint>
#include <vector>

namespace samphire
{

/// Load of one upstream, measured by its guard.
struct load_report
{
    /// Executions that hold a slot of the upstream.
    std::uint32_t running_executions_{};
    /// Executions that wait for a slot of the upstream.
    std::uint32_t queued_executions_{};
    std::uint32_t slots_{};
    /// Mean run time of an execution, in microseconds; 0 when unknown.
    std::uint32_t run_time_us_{};
    /// Exponentially weighted mean ratio of failed executions, in thousandths.
    std::uint32_t failed_permille_{};
    /// Executions that the upstream can accept per 1,000 s; 0 when unknown.
    std::uint32_t capacity_per_ks_{};
    /// Executions requested of the upstream per 1,000 s by urgency class, the
    /// least urgent class first; see demand_estimate.
    std::vector<std::uint32_t> demand_per_ks_{};
    /// Rate limit that the upstream has named.
    rate_limit rate_limit_{};
    /// Whether the guard accepts new work.
    bool accepts_work_{};

    friend bool operator==(load_report const&, load_report const&) = default;
};

} // namespace samphire
