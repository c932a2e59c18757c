#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Intervals and timeouts of the connections between daemons.
struct mesh_times
{
    /// Interval of the beacons on a dialled connection; the interval grows with
    /// the number of peers.
    absl::Duration beacon_interval_{absl::Milliseconds(250)};
    /// Added to the beacon interval for each peer, to bound the total rate of
    /// beacons.
    absl::Duration beacon_interval_per_peer_{absl::Milliseconds(8)};
    /// A connection is closed after nothing has arrived on it for the beacon
    /// interval plus this time.
    absl::Duration silence_timeout_{absl::Milliseconds(1000)};
    /// Maximum time from the opening of a connection to the hello of the other
    /// daemon.
    absl::Duration connect_timeout_{absl::Milliseconds(800)};
    /// Delay after the first attempt to dial a daemon; doubles with each failed
    /// attempt up to the maximum.
    absl::Duration min_redial_delay_{absl::Milliseconds(200)};
    absl::Duration max_redial_delay_{absl::Milliseconds(1500)};

    friend bool operator==(mesh_times const&, mesh_times const&) = default;
};

} // namespace samphire
