#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire::standin
{

/// Counts the calls that GET /metrics reports. The store's thread writes the
/// counters; the server's thread reads them.
struct call_counters
{
    std::atomic<std::uint64_t> reads_{};
    std::atomic<std::uint64_t> writes_{};
    std::atomic<std::uint64_t> conflicts_{};
    std::atomic<std::uint64_t> refused_{};
    std::atomic<std::uint64_t> lost_answers_{};
    std::atomic<std::uint64_t> waiting_watches_{};

    /// Returns the counters in the text exposition format.
    std::string text() const;
};

} // namespace samphire::standin
