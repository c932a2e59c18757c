#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Times of the connections between daemons.
struct mesh_times
{
    /// An idle connection is asked at this interval; longer with many peers.
    absl::Duration beacon_{absl::Milliseconds(250)};
    /// Added to the interval for each peer, to bound the cost.
    absl::Duration beacon_per_peer_{absl::Milliseconds(8)};
    /// A peer that sends nothing for this long beyond the interval is lost.
    absl::Duration silence_{absl::Milliseconds(1000)};
    absl::Duration connect_{absl::Milliseconds(800)};
    absl::Duration redial_{absl::Milliseconds(200)};
    absl::Duration longest_redial_{absl::Milliseconds(1500)};

    friend bool operator==(mesh_times const&, mesh_times const&) = default;
};

} // namespace samphire
