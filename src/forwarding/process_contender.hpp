#pragma once

#include "forwarding/upstream_heartbeat.hpp"
#include "forwarding/upstream_process.hpp"

#include <absl/time/time.h>

#include <utility>

namespace samphire
{

/// A process of the local upstream that may have left or ended: its heartbeats
/// contradict what is known about the upstream, or its departure may have been
/// acknowledged before this daemon started. Each of its heartbeats may be a
/// late one, so its answer to a health check has to show that it runs and is
/// not leaving.
class process_contender
{
public:
    process_contender(upstream_heartbeat heartbeat, absl::Time now)
        : last_heartbeat_(std::move(heartbeat)), first_heard_at_(now)
    {
    }

    upstream_process process() const
    {
        return {last_heartbeat_.id_, last_heartbeat_.start_time_ms_};
    }

    upstream_heartbeat const& last_heartbeat() const
    {
        return last_heartbeat_;
    }

    /// Applies a further heartbeat of the process.
    void on_heartbeat(upstream_heartbeat const& heartbeat, absl::Time now)
    {
        if (heartbeat.sequence_ <= last_heartbeat_.sequence_)
            return;
        last_heartbeat_ = heartbeat;
        has_outlasted_known_ = now >= first_heard_at_ + silence_of_known;
    }

    /// Notes a health check that had an answer, which did not show that this
    /// process is running and not leaving.
    void on_check_answered()
    {
        answers_checks_ = true;
    }

    void on_check_unanswered()
    {
        ++unanswered_checks_;
    }

    /// Whether it has not answered any of so many health checks.
    bool has_not_answered(int checks) const
    {
        return !answers_checks_ && unanswered_checks_ >= checks;
    }

    /// Whether its heartbeats have continued for so long that the process which
    /// is known to be ready would have been heard in between.
    bool has_outlasted_known() const
    {
        return has_outlasted_known_;
    }

private:
    /// Longer than the usual interval of heartbeats.
    static constexpr absl::Duration silence_of_known = absl::Seconds(2);

    upstream_heartbeat last_heartbeat_;
    absl::Time first_heard_at_{};
    bool has_outlasted_known_{};
    bool answers_checks_{};
    int unanswered_checks_{};
};

} // namespace samphire
