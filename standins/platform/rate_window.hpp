#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::standin
{

/// Limits the number of calls in each window of one second.
class rate_window
{
public:
    /// A `max_calls_per_window` of zero means no limit.
    explicit rate_window(std::uint64_t max_calls_per_window)
        : max_calls_per_window_(max_calls_per_window)
    {
    }

    /// Counts a call and returns true; returns false when the window is full.
    /// The `waiting_calls`, which wait for their answers, count in every
    /// window.
    bool admit(absl::Time now, std::uint64_t waiting_calls)
    {
        if (now >= window_start_time_ + absl::Seconds(1))
        {
            window_start_time_ = now;
            calls_in_window_ = 0;
        }
        if (max_calls_per_window_ != 0 &&
            calls_in_window_ + waiting_calls >= max_calls_per_window_)
            return false;
        ++calls_in_window_;
        return true;
    }

private:
    std::uint64_t max_calls_per_window_;
    absl::Time window_start_time_{absl::InfinitePast()};
    std::uint64_t calls_in_window_{};
};

} // namespace samphire::standin
