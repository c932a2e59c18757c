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
    /// Allows `lines_per_second` lines per second for each event, and bursts of
    /// twice that number.
    explicit event_rate_limiter(double lines_per_second)
        : lines_per_second_(lines_per_second)
    {
    }

    /// Returns true when a line of `event` may be written; `omitted_lines` then
    /// receives the number of lines of `event` that were omitted since its last
    /// written line.
    bool try_acquire(
        std::string_view event, absl::Time now, std::uint64_t& omitted_lines)
    {
        auto found = buckets_by_event_.find(event);
        if (found == buckets_by_event_.end())
            found = buckets_by_event_
                        .emplace(event, bucket{2 * lines_per_second_, now, 0})
                        .first;
        bucket& event_bucket = found->second;
        double const refilled =
            absl::ToDoubleSeconds(now - event_bucket.refilled_at_) *
            lines_per_second_;
        event_bucket.tokens_ =
            std::min(2 * lines_per_second_, event_bucket.tokens_ + refilled);
        event_bucket.refilled_at_ = now;
        if (event_bucket.tokens_ < 1)
        {
            ++event_bucket.omitted_lines_;
            return false;
        }
        event_bucket.tokens_ -= 1;
        omitted_lines = event_bucket.omitted_lines_;
        event_bucket.omitted_lines_ = 0;
        return true;
    }

private:
    struct bucket
    {
        double tokens_;
        absl::Time refilled_at_;
        std::uint64_t omitted_lines_;
    };

    double const lines_per_second_;
    std::map<std::string, bucket, std::less<>> buckets_by_event_;
};

} // namespace samphire
