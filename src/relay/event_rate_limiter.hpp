#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphire
{

/// Limits the log lines per second of each event with a token bucket, and
/// counts the omitted lines.
class event_rate_limiter
{
public:
    /// Allows `lines_per_second` lines of each event, and bursts of twice as
    /// many.
    explicit event_rate_limiter(double lines_per_second)
        : lines_per_second_(lines_per_second)
    {
    }

    /// True when a line may be written; `omitted_count` then receives the
    /// number of lines omitted since the last written line of the event.
    bool try_acquire(
        std::string_view event, absl::Time now, std::uint64_t& omitted_count)
    {
        auto found = events_.find(event);
        if (found == events_.end())
            found =
                events_.emplace(event, bucket{2 * lines_per_second_, now, 0})
                    .first;
        bucket& entry = found->second;
        double const refilled =
            absl::ToDoubleSeconds(now - entry.refilled_at_) * lines_per_second_;
        entry.tokens_ =
            std::min(2 * lines_per_second_, entry.tokens_ + refilled);
        entry.refilled_at_ = now;
        if (entry.tokens_ < 1)
        {
            ++entry.omitted_count_;
            return false;
        }
        entry.tokens_ -= 1;
        omitted_count = entry.omitted_count_;
        entry.omitted_count_ = 0;
        return true;
    }

private:
    struct bucket
    {
        double tokens_;
        absl::Time refilled_at_;
        std::uint64_t omitted_count_;
    };

    double const lines_per_second_;
    std::map<std::string, bucket, std::less<>> events_;
};

} // namespace samphire
