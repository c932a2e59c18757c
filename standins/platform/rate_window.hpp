#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::standin
{

/// Counts calls in windows of one second.
class rate_window
{
public:
    /// Limit of calls a second; zero for none.
    explicit rate_window(std::uint64_t limit) : limit_(limit)
    {
    }

    /// False when the window is full. `waiting` calls count in every window.
    bool admit(absl::Time now, std::uint64_t waiting)
    {
        if (now >= start_ + absl::Seconds(1))
        {
            start_ = now;
            count_ = 0;
        }
        if (limit_ != 0 && count_ + waiting >= limit_)
            return false;
        ++count_;
        return true;
    }

private:
    std::uint64_t limit_;
    absl::Time start_{absl::InfinitePast()};
    std::uint64_t count_{};
};

} // namespace samphire::standin
