#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Intervals, timeouts, fan-outs and limits of the membership protocol.
struct membership_times
{
    static constexpr absl::Duration probe_interval = absl::Seconds(1);
    /// Time in which a suspected member can refute the suspicion before the
    /// member counts as gone.
    static constexpr absl::Duration suspicion_timeout = absl::Seconds(3);
    /// Number of members that are asked to probe a member that did not answer a
    /// direct ping.
    static constexpr std::size_t indirect_probe_count = 3;
    /// Interval at which this daemon compares digests of the member records
    /// with a random member of its domain. The comparison repairs what bounded
    /// gossip missed.
    static constexpr absl::Duration exchange_interval = absl::Seconds(20);
    /// After joining, an exchange of member lists goes to a seed with the
    /// probability seed_exchange_weight / (members + 8). Exchanges with seeds
    /// merge groups of members that started separately; the probability falls
    /// with the number of members, so that the seeds of a large domain are not
    /// overloaded.
    static constexpr std::size_t seed_exchange_weight = 4;
    /// Interval at which owners of the watch duty compare digests with a member
    /// of another domain, so that changes pass between domains while the
    /// platform is unavailable.
    static constexpr absl::Duration remote_exchange_interval = absl::Seconds(5);
    /// Maximum time between two attempts to join; the time grows with each
    /// attempt.
    static constexpr absl::Duration max_join_wait = absl::Seconds(5);
    /// Number of members that receive an immediate notice of a new policy
    /// revision, or of a member that is suspect, leaving, gone or has refuted a
    /// suspicion. These members notify others in turn.
    static constexpr std::size_t notice_fanout = 3;
    /// Minimum time between the notices that one daemon sends, which limits
    /// their traffic to 7.2 KB/s.
    static constexpr absl::Duration notice_interval = absl::Milliseconds(500);
    /// Expected number of members of a domain that probe a member whose
    /// connections were lost. If all members of the domain did, a restarted
    /// daemon would receive more than its limit of 22 KB/s.
    static constexpr std::size_t lost_connection_probers = 20;
    /// Limit on concurrent probes; at the limit no probe is started for a lost
    /// connection. Periodic probes are not limited.
    static constexpr std::size_t max_probe_rounds = 8;
    /// Time after a change of its record for which a member that is missing
    /// from a newer summary does not count as gone. This time exceeds the delay
    /// of a summary.
    static constexpr absl::Duration summary_grace_period = absl::Seconds(60);
};

} // namespace samphire
