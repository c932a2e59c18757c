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
/// in between is refused. A success clears a request.
class crash_register
{
public:
    /// `threshold`: number of crashes after which a request is refused.
    explicit crash_register(std::size_t threshold) : crash_threshold_(threshold)
    {
    }

    /// The connection to the upstream broke while the upstream ran the request.
    void on_connection_lost(std::uint64_t fingerprint, absl::Time now);
    /// The upstream refuses connections, so it has crashed. Returns the
    /// fingerprints of the requests whose connections broke shortly before.
    std::vector<std::uint64_t> on_upstream_down(absl::Time now);

    /// Records that the request was running at a crash. `crash_id` identifies
    /// the crash, so that two reports of the same crash count once.
    void
    on_crash(std::uint64_t fingerprint, std::uint64_t crash_id, absl::Time now);
    void on_success(std::uint64_t fingerprint)
    {
        suspects_.erase(fingerprint);
    }

    bool is_refused(std::uint64_t fingerprint, absl::Time now) const;

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

    /// Connections that broke within this time before a refused connection are
    /// attributed to the same crash.
    static constexpr absl::Duration correlation_window = absl::Seconds(1);
    /// A suspect that has caused no crash for this time is removed.
    static constexpr absl::Duration suspect_lifetime = absl::Seconds(120);
    static constexpr std::size_t max_requests = 4096;

    std::size_t const crash_threshold_;
    std::deque<std::pair<absl::Time, std::uint64_t>> lost_requests_;
    absl::flat_hash_map<std::uint64_t, suspect> suspects_;
};

} // namespace samphire
