#pragma once

#include "base/service_name.hpp"
#include "policy/retry_limits.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <cstdint>

namespace samphire
{

/// Requirements on a retry strategy, which decides whether a call may be
/// retried.
template <class T>
concept retry_policy = requires(
    T policy,
    T const& view,
    service_name const& service,
    retry_limits const& limits,
    std::uint32_t attempts_left,
    std::uint32_t attempts_made,
    absl::Time now)
{
    /// Returns the number of extra attempts that a new request of a caller may
    /// use.
    {
        view.initial_budget(limits)
        } -> std::same_as<std::uint32_t>;
    /// Returns how many of the remaining extra attempts one child call may use.
    {
        view.granted_attempts(attempts_left)
        } -> std::same_as<std::uint32_t>;
    /// Returns true when a repeatable call is retried after its upstream
    /// answered with status 502, 503 or 504.
    {
        view.retries_failure_status()
        } -> std::same_as<bool>;
    /// Counts the first attempt of a call.
    {policy.on_first_attempt(service, now)};
    /// Returns true when one more attempt may be made. The code that calls this
    /// function then deducts the attempt from the budget of the request.
    {
        policy.may_retry(service, limits, attempts_left, attempts_made, now)
        } -> std::same_as<bool>;
};

} // namespace samphire
