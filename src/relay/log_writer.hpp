#pragma once

#include "base/bounded_ring.hpp"

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace samphire
{

/// Duty "log": writes lines to standard output. A full ring drops lines and
/// counts them; nobody waits for it.
class log_writer
{
public:
    explicit log_writer(std::size_t capacity) : lines_(capacity)
    {
    }

    void write(std::string line);
    void run();
    void stop();

private:
    /// Lines are written together at this interval, to save wake-ups.
    static constexpr absl::Duration interval = absl::Milliseconds(200);

    void write_batch(std::string first);

    bounded_ring<std::string> lines_;
    std::atomic<std::uint64_t> dropped_{};
};

} // namespace samphire
