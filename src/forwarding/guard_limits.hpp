#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Limits on the queue and the retained answers of one guard, with its
/// timeouts.
struct guard_limits
{
    /// Maximum number of requests that wait for a slot.
    std::size_t max_queued_requests_{2048};
    /// Maximum size of the answer bodies that are retained for entries that
    /// query an outcome.
    std::size_t max_retained_bytes_{16u << 20};
    /// How long a retained answer and the key of a closed request are kept. No
    /// request is in progress at its entry for this long.
    absl::Duration retention_period_{absl::Seconds(30)};
    /// Time after the deadline of a request in which the upstream may still
    /// send its own answer.
    absl::Duration answer_grace_period_{absl::Milliseconds(60)};
    /// Interval between attempts to connect to an upstream that refuses
    /// connections.
    absl::Duration probe_interval_{absl::Milliseconds(150)};
    /// Interval and duration of the attempts to connect after the upstream
    /// ended a connection without an answer. They show whether the upstream has
    /// crashed, also when no other request is sent to it. A process that ends
    /// may refuse connections a little later than it closes them, and is back
    /// after seconds.
    absl::Duration crash_probe_interval_{absl::Milliseconds(100)};
    absl::Duration crash_probe_duration_{absl::Milliseconds(500)};

    friend bool operator==(guard_limits const&, guard_limits const&) = default;
};

} // namespace samphire
