#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::standin
{

/// Limits the number of calls in each window of one second.
class rate_window
{
public:
    /// `max_calls` is the maximum number of calls in a window; zero for no
    /// limit.
    explicit rate_window(std::uint64_t max_calls) : max_calls_(max_calls)
    {
    }

    /// Counts a call and returns true; returns false when the window is full.
    /// The `waiting_calls`, which wait for their answers, count in every
    /// window.
    bool admit(absl::Time now, std::uint64_t waiting_calls)
    {
        if (now >= start_ + absl::Seconds(1))
        {
            start_ = now;
            count_ = 0;
        }
        if (max_calls_ != 0 && count_ + waiting_calls >= max_calls_)
            return false;
        ++count_;
        return true;
    }

private:
    std::uint64_t max_calls_;
    absl::Time start_{absl::InfinitePast()};
    std::uint64_t count_{};
};

} // namespace samphire::standin
