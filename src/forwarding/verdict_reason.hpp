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
    /// The queue is full, or the wait would outlast the deadline.
    overloaded,
    /// The deadline passed before a slot was free.
    expired,
    upstream_leaving,
    daemon_stopping,
    wrong_service,
    /// Upstream said that it has not run the request.
    rejected,
    /// The connection to the upstream ended without a whole answer.
    connection_lost,
    /// The upstream sent bytes that are no answer to the request.
    garbled,
    upstream_timeout,
    /// The connection to the guard was lost.
    guard_lost,
    client_left,
    crash_suspect,
    memory,
    /// Retrying would exceed what the service's callers may repeat.
    retry_limit,
};

std::string_view verdict_reason_text(verdict_reason reason);

} // namespace samphire
