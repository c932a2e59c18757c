#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Limits on the requests in progress at one entry, with its timeouts and retry
/// intervals.
struct entry_limits
{
    /// Maximum number of requests in progress.
    std::size_t max_requests_{8192};
    /// Maximum number of guards that one request is sent to in turn when each
    /// guard returns the request unexecuted. Then the request is refused.
    std::size_t max_tried_daemons_{3};
    /// How long after the deadline of a request its guard's verdict is still
    /// awaited.
    absl::Duration verdict_grace_period_{absl::Milliseconds(120)};
    /// How long the entry tries to learn the outcome of an unrepeatable request
    /// after the connection to the guard of the request was lost.
    absl::Duration resolve_timeout_{absl::Seconds(2)};
    /// Time for which a guard that accepts no new requests, and therefore
    /// returned one, is not chosen again.
    absl::Duration refusal_cooldown_{absl::Milliseconds(200)};
    /// Minimum Retry-After of a request that admission refused. The entry
    /// multiplies this time by 1, 2 or 3 at random, so that clients do not
    /// return at the same time.
    absl::Duration overload_retry_after_{absl::Milliseconds(400)};
    /// Minimum Retry-After of a request for which no upstream is reachable. The
    /// entry multiplies this time by 1, 2 or 3 at random. The time is longer
    /// than overload_retry_after_ because links are lost for seconds and
    /// clients retry only once or twice.
    absl::Duration unreachable_retry_after_{absl::Milliseconds(700)};
    /// A guard that was sent a request and has sent nothing for this time is
    /// pinged, and pinged again after each interval of this length.
    absl::Duration ping_interval_{absl::Milliseconds(150)};
    /// Maximum time that a call waits for an upstream to become available; a
    /// call never waits for more than a quarter of its remaining time. Daemons
    /// that have just started discover each other within 0.3 s, and a refused
    /// call wastes its parent's work.
    absl::Duration max_park_time_{absl::Milliseconds(300)};
    /// Interval at which the entry tries again to place a parked call.
    absl::Duration park_retry_interval_{absl::Milliseconds(20)};
    /// Retry-After of a refused request when the expected wait for a slot is
    /// unknown.
    absl::Duration default_retry_after_{absl::Milliseconds(200)};

    friend bool operator==(entry_limits const&, entry_limits const&) = default;
};

} // namespace samphire
