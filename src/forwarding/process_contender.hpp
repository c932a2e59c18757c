#pragma once

#include "forwarding/upstream_heartbeat.hpp"
#include "forwarding/upstream_process.hpp"

#include <absl/time/time.h>

#include <utility>

namespace samphire
{

/// A process of the local upstream that may have ended: its heartbeats
/// contradict what is known about the upstream, or its departure may have been
/// acknowledged before this daemon started. Either it is running, or its
/// heartbeats are late ones. Late heartbeats end soon, or alternate with those
/// of the known process; those of a running process continue.
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

    /// Applies a further heartbeat of the process. Returns true when the
    /// heartbeats have continued for so long that the process is running.
    bool on_heartbeat(upstream_heartbeat const& heartbeat, absl::Time now)
    {
        if (heartbeat.sequence_ <= last_heartbeat_.sequence_)
            return false;
        last_heartbeat_ = heartbeat;
        return now >= first_heard_at_ + confirmation_period;
    }

private:
    /// Longer than the usual interval of heartbeats, so that a known process
    /// that is running is heard within it.
    static constexpr absl::Duration confirmation_period = absl::Seconds(2);

    upstream_heartbeat last_heartbeat_;
    absl::Time first_heard_at_{};
};

} // namespace samphire
