#pragma once

#include "retry/retry_policy.hpp"

#include <absl/container/flat_hash_map.h>

namespace samphire
{

/// Retry strategy of the product: limits retries by one budget of extra
/// attempts for the whole call chain of a caller's request, and by a token
/// bucket for each service that first attempts fill, so that retries cannot
/// sustain an overload.
class chain_budget_retry
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

private:
    std::uint32_t* find_or_add_tokens(service_name const& service);

    /// Tokens left for retries of each service, in hundredths of a first
    /// attempt.
    absl::flat_hash_map<service_name, std::uint32_t> retry_tokens_by_service_;
};

} // namespace samphire
