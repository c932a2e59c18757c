#pragma once

#include "base/bounded_ring.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire
{

/// Duty "log": writes lines to standard output. Lines that do not fit into the
/// bounded ring `lines_` are dropped and counted, so that no thread waits for
/// the log.
class log_writer
{
public:
    explicit log_writer(std::size_t capacity) : lines_(capacity)
    {
    }

    /// Queues a line; any thread may call this function.
    void write(std::string line);
    void run();
    void stop();

private:
    /// Lines are written in batches at this interval, to save wake-ups.
    static constexpr absl::Duration batch_interval = absl::Milliseconds(200);

    void write_batch(std::string first);

    bounded_ring<std::string> lines_;
    std::atomic<std::uint64_t> dropped_lines_{};
};

} // namespace samphire
