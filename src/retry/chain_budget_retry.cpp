#include "retry/chain_budget_retry.hpp"

#include <algorithm>

namespace samphire
{

static_assert(retry_policy<chain_budget_retry>);

namespace
{

constexpr std::uint32_t token_scale = 100;
// A quiet service may retry ten times before first attempts must pay for it.
constexpr std::uint32_t saved_retries = 10;
// Room for the saved retries at the least percentage, where each costs most.
constexpr std::uint32_t bucket_size = saved_retries * token_scale * token_scale;
// Callers choose the service names, so the table is bounded.
constexpr std::size_t most_services = 4096;

} // namespace

std::uint32_t
chain_budget_retry::initial_budget(retry_limits const& limits) const
{
    return limits.extra_attempts_;
}

std::uint32_t chain_budget_retry::child_share(std::uint32_t attempts_left) const
{
    return attempts_left - attempts_left / 2;
}

bool chain_budget_retry::retries_failure_status() const
{
    // The hop that met the failure has spent from the budget; repeating its
    // parent would repeat the whole subtree.
    return false;
}

void chain_budget_retry::on_first_attempt(
    service_name const& service, absl::Time)
{
    std::uint32_t* const tokens = bucket(service);
    if (tokens)
        *tokens = std::min(bucket_size, *tokens + token_scale);
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
    // One first attempt adds token_scale; one retry costs that many first
    // attempts as the percentage asks for.
    std::uint32_t const cost =
        token_scale * token_scale / limits.service_percent_;
    std::uint32_t* const tokens = bucket(service);
    if (!tokens)
        return false;
    *tokens = std::min(*tokens, saved_retries * cost);
    if (*tokens < cost)
        return false;
    *tokens -= cost;
    return true;
}

/// Null when the table is full; such a service gets no retries.
std::uint32_t* chain_budget_retry::bucket(service_name const& service)
{
    auto const found = tokens_.find(service);
    if (found != tokens_.end())
        return &found->second;
    if (tokens_.size() >= most_services)
        return nullptr;
    return &tokens_.emplace(service, bucket_size).first->second;
}

} // namespace samphire
