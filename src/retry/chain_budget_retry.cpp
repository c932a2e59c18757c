#include "retry/chain_budget_retry.hpp"

#include <algorithm>

namespace samphire
{

static_assert(retry_policy<chain_budget_retry>);

namespace
{

// Tokens that one first attempt adds to the bucket of its service.
constexpr std::uint32_t token_scale = 100;
// Maximum number of saved retries, which a service may make without new first
// attempts.
constexpr std::uint32_t max_saved_retries = 10;
// Maximum number of tokens of one service: enough for the saved retries at the
// lowest percentage, 1%, where each retry costs the most tokens.
constexpr std::uint32_t bucket_capacity =
    max_saved_retries * token_scale * token_scale;
// Maximum number of services with a token bucket; callers can invent service
// names.
constexpr std::size_t max_services = 4096;

} // namespace

std::uint32_t
chain_budget_retry::initial_budget(retry_limits const& limits) const
{
    return limits.extra_attempts_;
}

std::uint32_t
chain_budget_retry::granted_attempts(std::uint32_t attempts_left) const
{
    return attempts_left - attempts_left / 2;
}

bool chain_budget_retry::retries_failure_status() const
{
    // Failure statuses are not retried: the hop that received the status has
    // already used the budget for its own retries, and retrying its parent
    // would repeat the whole subtree of calls.
    return false;
}

void chain_budget_retry::on_first_attempt(
    service_name const& service, absl::Time)
{
    std::uint32_t* const tokens = find_or_add_tokens(service);
    if (tokens)
        *tokens = std::min(bucket_capacity, *tokens + token_scale);
}

bool chain_budget_retry::may_retry(
    service_name const& service,
    retry_limits const& limits,
    std::uint32_t attempts_left,
    std::uint32_t,
    absl::Time)
{
    if (attempts_left == 0 || limits.service_percent_ == 0)
        return false;
    // At a percentage p, a retry costs as many tokens as 100 / p first attempts
    // add.
    std::uint32_t const retry_cost_tokens =
        token_scale * token_scale / limits.service_percent_;
    std::uint32_t* const tokens = find_or_add_tokens(service);
    if (!tokens)
        return false;
    *tokens = std::min(*tokens, max_saved_retries * retry_cost_tokens);
    if (*tokens < retry_cost_tokens)
        return false;
    *tokens -= retry_cost_tokens;
    return true;
}

/// Returns the token bucket of the service; null when the table is full, so
/// that the service gets no retries.
std::uint32_t*
chain_budget_retry::find_or_add_tokens(service_name const& service)
{
    auto const found = retry_tokens_by_service_.find(service);
    if (found != retry_tokens_by_service_.end())
        return &found->second;
    if (retry_tokens_by_service_.size() >= max_services)
        return nullptr;
    return &retry_tokens_by_service_.emplace(service, bucket_capacity)
                .first->second;
}

} // namespace samphire
