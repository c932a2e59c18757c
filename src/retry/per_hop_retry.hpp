#pragma once

#include "retry/retry_policy.hpp"

namespace samphire
{

/// Baseline retry strategy: every hop makes up to three attempts, regardless of
/// other hops.
class per_hop_retry
{
public:
    std::uint32_t initial_budget(retry_limits const& limits) const;
    std::uint32_t granted_attempts(std::uint32_t attempts_left) const;
    bool retries_failure_status() const;
    void on_first_attempt(service_name const& service, absl::Time now);
    bool may_retry(
        service_name const& service,
        retry_limits const& limits,
        std::uint32_t attempts_left,
        std::uint32_t attempts_made,
        absl::Time now);
};

} // namespace samphire
