#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire::standin
{

/// Counters of GET /metrics; written by the store's thread, read by the
/// server's thread.
struct call_counters
{
    std::atomic<std::uint64_t> reads_{};
    std::atomic<std::uint64_t> writes_{};
    std::atomic<std::uint64_t> conflicts_{};
    std::atomic<std::uint64_t> refused_{};
    std::atomic<std::uint64_t> lost_answers_{};
    std::atomic<std::uint64_t> waiting_watches_{};

    /// The counters in the text exposition format.
    std::string text() const;
};

} // namespace samphire::standin
