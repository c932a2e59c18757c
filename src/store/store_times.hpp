#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Timing of the calls to the store.
struct store_times
{
    /// A watch is renewed after this time. Each call is charged, which favours
    /// a long time; a silent connection is noticed only at the renewal, which
    /// favours a short one.
    absl::Duration watch_timeout_{absl::Seconds(8)};
    /// A call without an answer is abandoned after this time.
    absl::Duration answer_timeout_{absl::Milliseconds(900)};
    absl::Duration first_backoff_{absl::Milliseconds(100)};
    absl::Duration max_backoff_{absl::Milliseconds(1000)};
    /// Daemons announce themselves to each other, so the list only repairs
    /// missed announcements. It is read more often after a start, since many
    /// daemons may start together.
    absl::Duration first_list_period_{absl::Milliseconds(500)};
    absl::Duration max_list_period_{absl::Seconds(10)};
    /// The first write waits at most this long for the first heartbeat, which
    /// saves a second write.
    absl::Duration first_write_delay_{absl::Seconds(3)};

    friend bool operator==(store_times const&, store_times const&) = default;
};

} // namespace samphire
