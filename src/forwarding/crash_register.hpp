#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace samphire
{

/// Tracks, by fingerprint, the requests that were running when an upstream
/// crashed. A request that was running at several crashes and has not succeeded
/// in between is refused. A request that succeeds is cleared of suspicion.
class crash_register
{
public:
    /// `threshold`: number of crashes after which a request that was running at
    /// them is refused.
    explicit crash_register(std::size_t threshold) : crash_threshold_(threshold)
    {
    }

    /// Records that the connection to the upstream broke while the upstream ran
    /// the request with this fingerprint.
    void on_connection_lost(std::uint64_t fingerprint, absl::Time now);
    /// Called when the upstream refuses connections, which means that it has
    /// crashed. Returns the fingerprints of the requests whose connections
    /// broke within `correlation_window` before.
    std::vector<std::uint64_t> on_upstream_down(absl::Time now);

    /// Records that the request with this fingerprint was running when an
    /// upstream crashed. `crash_id` identifies the crash, so that two reports
    /// of the same crash count once.
    void
    on_crash(std::uint64_t fingerprint, std::uint64_t crash_id, absl::Time now);
    void on_success(std::uint64_t fingerprint)
    {
        suspects_.erase(fingerprint);
    }

    /// Whether a request with this fingerprint is refused because it was
    /// running at too many crashes.
    bool is_refused(std::uint64_t fingerprint, absl::Time now) const;

    /// Returns the number of suspect requests.
    std::size_t size() const
    {
        return suspects_.size();
    }

private:
    struct suspect
    {
        absl::flat_hash_set<std::uint64_t> crash_ids_;
        absl::Time last_crash_time_;
    };

    /// Connections to the upstream that broke within this time before the
    /// upstream refused a connection are attributed to the same crash.
    static constexpr absl::Duration correlation_window = absl::Seconds(1);
    /// A suspect request that was running at no crash for this time is no
    /// longer refused and may be removed.
    static constexpr absl::Duration suspect_lifetime = absl::Seconds(120);
    static constexpr std::size_t max_requests = 4096;

    std::size_t const crash_threshold_;
    /// Fingerprints of requests whose connection broke, with the time at which
    /// the connection broke, oldest first.
    std::deque<std::pair<absl::Time, std::uint64_t>> lost_requests_;
    /// Crashes at which a request was running, by the fingerprint of the
    /// request.
    absl::flat_hash_map<std::uint64_t, suspect> suspects_;
};

} // namespace samphire
