#pragma once

#include "base/execution_id.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace samphire
{

/// Distinguishes the crash of an upstream from the loss of single connections.
/// After a crash all connections are lost at once, or the upstream refuses the
/// next one.
class crash_detector
{
public:
    /// Records that the connection of a started request was lost.
    void on_connection_lost(execution_id id, absl::Time now)
    {
        if (lost_requests_.empty())
            decision_deadline_ = now + decision_timeout;
        lost_requests_.push_back(id);
    }

    /// Records that the upstream answered a request.
    void on_answered(absl::Time now)
    {
        if (!lost_requests_.empty() &&
            now >= decision_deadline_ - decision_timeout + stale_answer_window)
            answered_since_loss_ = true;
    }

    /// Returns true while it is undecided whether the lost connections mean a
    /// crash.
    bool is_undecided() const
    {
        return !lost_requests_.empty();
    }

    /// Returns true when the upstream has crashed: all `started` requests,
    /// which include the lost ones, lost their connections and none was
    /// answered since.
    bool has_crashed(std::size_t started) const
    {
        return is_undecided() && !answered_since_loss_ &&
               lost_requests_.size() == started;
    }

    /// Returns true when the time for a decision has passed. If the upstream
    /// has not crashed by then, only single connections were lost.
    bool is_decision_due(absl::Time now) const
    {
        return is_undecided() && now >= decision_deadline_;
    }

    absl::Time next_deadline() const
    {
        return is_undecided() ? decision_deadline_ : absl::InfiniteFuture();
    }

    /// Returns the requests that lost their connections and resets the
    /// detector.
    std::vector<execution_id> take_lost_requests()
    {
        answered_since_loss_ = false;
        return std::exchange(lost_requests_, {});
    }

private:
    // Maximum time from the first lost connection to the decision, in which no
    // new work starts. All connection resets of one crash arrive within a
    // millisecond on the same VM.
    static constexpr absl::Duration decision_timeout = absl::Milliseconds(20);
    // An answer that arrives this soon after a loss may have been sent before
    // the crash, so it does not show that the upstream still runs.
    static constexpr absl::Duration stale_answer_window = absl::Milliseconds(5);

    std::vector<execution_id> lost_requests_;
    absl::Time decision_deadline_{absl::InfiniteFuture()};
    bool answered_since_loss_{};
};

} // namespace samphire
