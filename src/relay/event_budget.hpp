#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphire
{

/// Bounds the log lines of each event; counts what is left out.
class event_budget
{
public:
    /// `per_second` lines of each event, twice that at once.
    explicit event_budget(double per_second) : per_second_(per_second)
    {
    }

    /// True when a line may be written; `omitted` gets how many were left out
    /// before it.
    bool take(std::string_view event, absl::Time now, std::uint64_t& omitted)
    {
        auto found = events_.find(event);
        if (found == events_.end())
            found =
                events_.emplace(event, state{2 * per_second_, now, 0}).first;
        state& entry = found->second;
        double const earned =
            absl::ToDoubleSeconds(now - entry.at_) * per_second_;
        entry.tokens_ = std::min(2 * per_second_, entry.tokens_ + earned);
        entry.at_ = now;
        if (entry.tokens_ < 1)
        {
            ++entry.omitted_;
            return false;
        }
        entry.tokens_ -= 1;
        omitted = entry.omitted_;
        entry.omitted_ = 0;
        return true;
    }

private:
    struct state
    {
        double tokens_;
        absl::Time at_;
        std::uint64_t omitted_;
    };

    double const per_second_;
    std::map<std::string, state, std::less<>> events_;
};

} // namespace samphire
