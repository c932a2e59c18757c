#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <deque>
#include <utility>

namespace samphire::standin
{

/// Load at each announcement, to report it with a lag.
class load_history
{
public:
    explicit load_history(absl::Duration lag) : lag_(lag)
    {
    }

    /// Notes the load of now and returns that of `lag` ago; zero before.
    std::size_t report(std::size_t load, absl::Time now)
    {
        loads_.emplace_back(now, load);
        while (!loads_.empty() && loads_.front().first <= now - lag_)
        {
            reported_ = loads_.front().second;
            loads_.pop_front();
        }
        return reported_;
    }

private:
    absl::Duration const lag_;
    std::deque<std::pair<absl::Time, std::size_t>> loads_;
    std::size_t reported_{};
};

} // namespace samphire::standin
