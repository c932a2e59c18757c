#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire::standin
{

/// Counters of GET /metrics; written by one thread, read by another.
struct call_counters
{
    std::atomic<std::uint64_t> reads_{};
    std::atomic<std::uint64_t> writes_{};
    std::atomic<std::uint64_t> conflicts_{};
    std::atomic<std::uint64_t> refused_{};
    std::atomic<std::uint64_t> lost_answers_{};
    std::atomic<std::uint64_t> waiting_watches_{};

    /// Text exposition.
    std::string text() const;
};

} // namespace samphire::standin
