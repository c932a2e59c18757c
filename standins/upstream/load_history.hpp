#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <utility>

namespace samphire::standin
{

/// Records the load of the upstream at each announcement, so that later
/// announcements can report an old load.
class load_history
{
public:
    explicit load_history(absl::Duration lag) : report_lag_(lag)
    {
    }

    /// Records the load at `now` and returns the newest recorded load that is
    /// at least `lag` old; zero while no load is that old.
    std::size_t record(std::size_t load, absl::Time now)
    {
        loads_.emplace_back(now, load);
        while (!loads_.empty() && loads_.front().first <= now - report_lag_)
        {
            reported_load_ = loads_.front().second;
            loads_.pop_front();
        }
        return reported_load_;
    }

private:
    absl::Duration const report_lag_;
    std::deque<std::pair<absl::Time, std::size_t>> loads_;
    std::size_t reported_load_{};
};

} // namespace samphire::standin
