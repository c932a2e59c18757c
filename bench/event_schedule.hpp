#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace samphire::fake
{

/// Virtual clock that runs functions in the order of their times; functions
/// with equal times run in the order in which they were added.
class event_schedule
{
public:
    absl::Time now() const
    {
        return now_;
    }

    void at(absl::Time time, std::function<void()> function)
    {
        pending_functions_.emplace(
            std::pair(std::max(time, now_), ++added_functions_),
            std::move(function));
    }

    void after(absl::Duration delay, std::function<void()> function)
    {
        at(now_ + delay, std::move(function));
    }

    void run_until(absl::Time end)
    {
        while (!pending_functions_.empty() &&
               pending_functions_.begin()->first.first <= end)
        {
            auto const next =
                pending_functions_.extract(pending_functions_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = end;
    }

private:
    absl::Time now_{absl::UnixEpoch() + absl::Hours(24)};
    std::uint64_t added_functions_{};
    std::map<std::pair<absl::Time, std::uint64_t>, std::function<void()>>
        pending_functions_;
};

} // namespace samphire::fake
