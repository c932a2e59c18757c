#include "retry/per_hop_retry.hpp"

namespace samphire
{

static_assert(retry_policy<per_hop_retry>);

namespace
{

constexpr std::uint32_t max_attempts_per_hop = 3;

} // namespace

std::uint32_t per_hop_retry::initial_budget(retry_limits const&) const
{
    return max_attempts_per_hop - 1;
}

std::uint32_t per_hop_retry::granted_attempts(std::uint32_t) const
{
    return max_attempts_per_hop - 1;
}

bool per_hop_retry::retries_failure_status() const
{
    return true;
}

void per_hop_retry::on_first_attempt(service_name const&, absl::Time)
{
}

bool per_hop_retry::may_retry(
    service_name const&,
    retry_limits const&,
    std::uint32_t,
    std::uint32_t attempts_made,
    absl::Time)
{
    return attempts_made < max_attempts_per_hop;
}

} // namespace samphire
