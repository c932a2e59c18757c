#pragma once

#include "forwarding/load_report.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// State of a daemon and of the upstream that it guards, as known to this
/// daemon.
struct peer_state
{
    upstream_record record_{};
    /// Incarnation of the daemon's process; 0 when unknown.
    std::uint64_t incarnation_{};
    bool connected_{};
    /// The daemon is about to stop and soon accepts no new work.
    bool stopping_{};
    load_report load_{};
    absl::Time load_report_time_{absl::InfinitePast()};
    /// Requests that this daemon has sent to the peer and that have not ended.
    std::uint32_t in_flight_requests_{};
    /// Value of `in_flight_requests_` when the load report arrived.
    std::uint32_t in_flight_requests_at_report_{};
    absl::Time last_sent_{absl::InfinitePast()};
    /// Time of the first send since the daemon was last heard; infinite when
    /// nothing was sent since.
    absl::Time awaiting_reply_since_{absl::InfiniteFuture()};
    /// The daemon is not chosen before this time, whatever its load reports
    /// say, since it has returned a request.
    absl::Time cooldown_until_{absl::InfinitePast()};

    /// Whether the daemon was sent work and has not been heard for three ping
    /// intervals, so that it may be cut off.
    bool is_silent(absl::Time now) const
    {
        constexpr absl::Duration max_silence = absl::Milliseconds(450);
        return awaiting_reply_since_ + max_silence < now;
    }
};

} // namespace samphire
