#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire::standin
{

/// Counts the requests and service times that GET /metrics reports. The work
/// thread writes the counters; the server's thread reads them. Wasted work is
/// service time spent on requests that got no complete answer.
struct work_counters
{
    std::atomic<std::uint64_t> started_{};
    std::atomic<std::uint64_t> answered_{};
    std::atomic<std::uint64_t> shed_{};
    std::atomic<std::uint64_t> abandoned_{};
    std::atomic<std::uint64_t> expired_{};
    std::atomic<std::uint64_t> failed_calls_{};
    std::atomic<std::uint64_t> crashes_{};
    std::atomic<std::uint64_t> useful_microseconds_{};
    std::atomic<std::uint64_t> wasted_microseconds_{};

    /// Returns the counters in the text exposition format.
    std::string text() const;
};

} // namespace samphire::standin
