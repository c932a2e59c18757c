#pragma once

#include <cstdint>

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
    /// Pressure in thousandths of an urgency class; see service_pressure.
    std::uint32_t level_permille_{};
    /// Whether new work is taken.
    bool open_{};

    friend bool operator==(load_report const&, load_report const&) = default;
};

} // namespace samphire
