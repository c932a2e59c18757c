#pragma once

#include "base/execution_id.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace samphire
{

/// Tells the crash of an upstream from the loss of single connections. A crash
/// ends all connections at once, or refuses the next one.
class crash_detector
{
public:
    void connection_lost(execution_id id, absl::Time now)
    {
        if (lost_.empty())
            decide_at_ = now + window;
        lost_.push_back(id);
    }

    /// An answer of the upstream arrived after a loss.
    void answered(absl::Time now)
    {
        if (!lost_.empty() && now >= decide_at_ - window + settling_time)
            survived_ = true;
    }

    /// True while a loss is not explained.
    bool open() const
    {
        return !lost_.empty();
    }

    /// True when a crash is the explanation, given the number of started
    /// requests including the lost ones.
    bool crashed(std::size_t started) const
    {
        return open() && !survived_ && lost_.size() == started;
    }

    bool expired(absl::Time now) const
    {
        return open() && now >= decide_at_;
    }

    absl::Time next_deadline() const
    {
        return open() ? decide_at_ : absl::InfiniteFuture();
    }

    /// Requests that lost their connection; closes the case.
    std::vector<execution_id> take()
    {
        survived_ = false;
        return std::exchange(lost_, {});
    }

private:
    // Resets of one crash arrive within a millisecond on one VM; no new work
    // starts before the case is decided.
    static constexpr absl::Duration window = absl::Milliseconds(20);
    // An answer just after a loss may have been sent before the crash.
    static constexpr absl::Duration settling_time = absl::Milliseconds(5);

    std::vector<execution_id> lost_;
    absl::Time decide_at_{absl::InfiniteFuture()};
    bool survived_{};
};

} // namespace samphire
