#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Timeouts, intervals and retry pauses of the calls to the store.
struct store_times
{
    /// Range of the time after which a watch of the policy is renewed. The
    /// platform charges for each call, which is a reason for a long time; a
    /// watch that the store has forgotten is noticed only at the renewal, which
    /// is a reason for a short time.
    absl::Duration min_watch_timeout_{absl::Seconds(2)};
    absl::Duration max_watch_timeout_{absl::Seconds(8)};
    /// Duration of a watch that follows a lost one: it shows soon whether the
    /// store answers again.
    absl::Duration probe_watch_timeout_{absl::Milliseconds(400)};
    /// Interval of the access checks of a daemon that watches the policy, and
    /// the time without an answer after which it counts as cut off. A waiting
    /// watch doesn't show that, and the others must have time to take its place
    /// before a change has to be in force. The checks may be stale.
    absl::Duration access_check_interval_{absl::Milliseconds(400)};
    absl::Duration access_check_timeout_{absl::Milliseconds(500)};
    /// Range of the time between two reads of the policy by a daemon that does
    /// not watch it. The reads repair what all other daemons have missed; they
    /// may be stale and cost a tenth of other calls.
    absl::Duration min_unwatched_period_{absl::Seconds(3)};
    absl::Duration max_unwatched_period_{absl::Seconds(6)};
    /// Time after which a call without an answer is abandoned.
    absl::Duration answer_timeout_{absl::Milliseconds(900)};
    absl::Duration first_backoff_{absl::Milliseconds(100)};
    absl::Duration max_backoff_{absl::Milliseconds(1000)};
    /// First and longest interval between two reads of the list of upstreams.
    /// Daemons announce themselves to each other, so the list only repairs
    /// missed announcements. The list is read more often after a start, since
    /// many daemons may start together.
    absl::Duration first_list_period_{absl::Milliseconds(500)};
    absl::Duration max_list_period_{absl::Seconds(10)};
    /// Rate of the reads by which all daemons together check their objects
    /// after the store has come back from a copy. Each read may be followed by
    /// a write, and the platform limits the rate of both.
    double max_object_checks_per_second_{300};
    /// Maximum time that the first write of this daemon's object waits for the
    /// first heartbeat of the upstream. The wait saves a second write.
    absl::Duration first_write_delay_{absl::Seconds(3)};

    friend bool operator==(store_times const&, store_times const&) = default;
};

} // namespace samphire
