#pragma once

#include "quarantine/quarantine_policy.hpp"

namespace samphire
{

/// Baseline quarantine strategy: suspects no request.
class no_quarantine
{
public:
    suspicion assess(fingerprint request, absl::Time now) const;
    std::vector<crash_suspect>
    on_upstream_crash(std::span<fingerprint const> in_flight, absl::Time now);
    void merge(crash_suspect const& suspect, absl::Time now);
    bool on_request_completed(fingerprint request, absl::Time now);
    std::vector<crash_suspect> suspects(absl::Time now) const;
};

} // namespace samphire
