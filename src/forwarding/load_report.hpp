#pragma once

#include <cstdint>
#include <vector>

namespace samphire
{

/// Load of one upstream as its guard sees it.
struct load_report
{
    std::uint32_t running_{};
    std::uint32_t queued_{};
    std::uint32_t slots_{};
    /// Mean time of one execution, in microseconds.
    std::uint32_t service_time_us_{};
    /// Mean share of executions that failed, in thousandths.
    std::uint32_t failed_permille_{};
    /// Executions that it can take up in 1,000 s; 0 when unknown.
    std::uint32_t room_per_ks_{};
    /// Executions that it is asked for in 1,000 s, by urgency, the least urgent
    /// first; see demand_estimate.
    std::vector<std::uint32_t> demand_per_ks_{};
    /// Whether new work is taken.
    bool open_{};

    friend bool operator==(load_report const&, load_report const&) = default;
};

} // namespace samphire
