#pragma once

#include "quarantine/quarantine_policy.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace samphire
{

/// Quarantine strategy of the product: makes each request that was in flight
/// during a crash a suspect. A suspect runs alone, so that a second crash
/// identifies its cause. The cause is quarantined for 10 minutes and not run.
class crash_quarantine
{
public:
    suspicion assess(fingerprint request, absl::Time now) const;
    std::vector<crash_suspect>
    on_upstream_crash(std::span<fingerprint const> in_flight, absl::Time now);
    /// Merges a notice of another daemon. A notice with zero crashes clears the
    /// suspect.
    void merge(crash_suspect const& suspect, absl::Time now);
    bool on_request_completed(fingerprint request, absl::Time now);
    std::vector<crash_suspect> suspects(absl::Time now) const;

private:
    struct suspect_entry
    {
        std::uint32_t crashes_{};
        bool ran_alone_{};
        absl::Time expires_at_{};
    };

    void store_suspect(crash_suspect const& suspect, absl::Time now);
    void remove_oldest_if_full();

    absl::flat_hash_map<fingerprint, suspect_entry> suspects_;
    /// Suspects and quarantined requests, oldest first; may contain requests
    /// that were cleared in the meantime.
    std::deque<fingerprint> insertion_order_;
};

} // namespace samphire
