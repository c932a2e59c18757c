#pragma once

#include "quarantine/quarantine_policy.hpp"

#include <absl/container/flat_hash_map.h>

#include <deque>

namespace samphire
{

/// Suspects each request that was in flight during a crash. A suspect runs
/// alone, so that a second crash names its cause, which is then not run for
/// 10 minutes.
class crash_quarantine
{
public:
    suspicion assess(fingerprint request, absl::Time now) const;
    std::vector<crash_suspect>
    upstream_crashed(std::span<fingerprint const> in_flight, absl::Time now);
    /// A suspect without crashes is cleared.
    void merge(crash_suspect const& suspect, absl::Time now);
    bool succeeded(fingerprint request, absl::Time now);
    std::vector<crash_suspect> suspects(absl::Time now) const;

private:
    struct suspect_state
    {
        std::uint32_t crashes_{};
        bool alone_{};
        absl::Time until_{};
    };

    void hold(crash_suspect const& suspect, absl::Time now);
    void drop_oldest();

    absl::flat_hash_map<fingerprint, suspect_state> held_;
    /// Oldest first; may name requests that were cleared since.
    std::deque<fingerprint> order_;
};

} // namespace samphire
