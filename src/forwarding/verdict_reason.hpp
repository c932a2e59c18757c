#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Why a request was refused or failed.
enum class verdict_reason : std::uint8_t
{
    none,
    no_policy,
    no_route,
    no_upstream,
    /// The guard's queue is full, or the wait for a slot would last beyond the
    /// deadline.
    overloaded,
    /// The deadline of the request passed before a slot was free.
    expired,
    upstream_leaving,
    daemon_stopping,
    wrong_service,
    /// The upstream answered that it has not run the request.
    rejected,
    /// The connection to the upstream ended before the answer was complete.
    connection_lost,
    /// The upstream sent bytes that are not a valid answer to the request.
    garbled,
    upstream_timeout,
    /// The connection between entry and guard was lost.
    guard_lost,
    client_left,
    /// The request was running at several upstream crashes.
    crash_suspect,
    /// The answer was dropped to limit the memory that retained answers use.
    memory,
    /// A retry would exceed the allowed ratio of retries for the service.
    retry_limit,
};

/// Returns the name of the enumerator.
std::string_view verdict_reason_text(verdict_reason reason);

} // namespace samphire
