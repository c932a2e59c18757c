#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Decides when a stopping daemon ends: once the clients of this VM have had
/// time to notice that the daemon is not ready and no request is in progress,
/// and shortly before the grace period ends at the latest.
class stop_progress
{
public:
    /// `grace_period` is the time from the stop signal until the process is
    /// killed.
    explicit stop_progress(absl::Duration grace_period)
        : grace_period_(grace_period)
    {
    }

    void begin(absl::Time now)
    {
        if (began_at_ == absl::InfiniteFuture())
            began_at_ = now;
    }

    bool stopping() const
    {
        return began_at_ != absl::InfiniteFuture();
    }

    /// Returns whether orders of other daemons may still start. They are sent
    /// to other guards from then on.
    bool accepts_orders(absl::Time now) const
    {
        return !stopping() || now < began_at_ + grace_period_ / 2;
    }

    /// Returns the time by which all work must have ended, so that its answers
    /// are delivered before the process ends.
    absl::Time work_end() const
    {
        return stopping() ? process_end() - answer_duration
                          : absl::InfiniteFuture();
    }

    /// Returns true when the daemon can end. `unanswered_requests` is the
    /// number of requests whose answer is not written completely;
    /// `unwritten_links` that of links to other daemons with unsent messages.
    bool finished(
        std::size_t unanswered_requests,
        std::size_t unwritten_links,
        absl::Time now)
    {
        if (!stopping())
            return false;
        if (unanswered_requests > 0)
            idle_since_ = absl::InfiniteFuture();
        else if (idle_since_ == absl::InfiniteFuture())
            idle_since_ = now;
        bool const not_ready_noticed = now >= began_at_ + min_stop_duration;
        bool const idle =
            idle_since_ + (unwritten_links > 0 ? max_link_write_duration
                                               : min_idle_duration) <=
            now;
        return (not_ready_noticed && idle) || now >= process_end();
    }

private:
    absl::Time process_end() const
    {
        return began_at_ + grace_period_ - exit_duration;
    }

    /// Minimum time for which a stopping daemon keeps running. Clients check
    /// readiness once per second and react to the second failure.
    static constexpr absl::Duration min_stop_duration =
        absl::Milliseconds(2300);
    static constexpr absl::Duration min_idle_duration = absl::Milliseconds(150);
    /// Maximum time for which an idle daemon waits until its messages to other
    /// daemons are written. A link that is cut in this direction only never
    /// writes them.
    static constexpr absl::Duration max_link_write_duration = absl::Seconds(1);
    /// Time reserved between the end of the work and the end of the process:
    /// for the verdicts on overdue work and for writing the last answers.
    static constexpr absl::Duration answer_duration = absl::Milliseconds(250);
    /// Time reserved for the exit of the process before the grace period ends.
    static constexpr absl::Duration exit_duration = absl::Milliseconds(700);

    absl::Duration const grace_period_;
    absl::Time began_at_{absl::InfiniteFuture()};
    absl::Time idle_since_{absl::InfiniteFuture()};
};

} // namespace samphire
