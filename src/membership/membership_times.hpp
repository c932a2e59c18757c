#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Periods of the membership protocol.
struct membership_times
{
    static constexpr absl::Duration probe_interval = absl::Seconds(1);
    /// Time in which a suspected member can refute before it is gone.
    static constexpr absl::Duration suspicion = absl::Seconds(3);
    /// Members that are asked to probe one that did not answer.
    static constexpr std::size_t indirect_probes = 3;
    /// Digests are compared with a random member of the own domain, which
    /// repairs what bounded gossip missed.
    static constexpr absl::Duration exchange_interval = absl::Seconds(20);
    /// Watchers compare with a member of another domain, so that changes
    /// between domains arrive while the platform is out.
    static constexpr absl::Duration remote_exchange_interval = absl::Seconds(5);
    /// Longest wait between attempts to join.
    static constexpr absl::Duration longest_join_wait = absl::Seconds(5);
    /// Members told at once of news: a new policy revision, or a member that
    /// is suspect, leaving, gone or has refuted. They tell others in turn.
    static constexpr std::size_t notices = 3;
    /// Shortest time between such notices; bounds them to 7.2 KB/s.
    static constexpr absl::Duration notice_interval = absl::Milliseconds(500);
    /// Probes at the same time, beyond the periodic one for lost connections.
    static constexpr std::size_t probe_rounds = 8;
    /// A member missing from a newer summary is gone unless its record
    /// changed within this time, which exceeds the delay of a summary.
    static constexpr absl::Duration summary_grace = absl::Seconds(60);
};

} // namespace samphire
