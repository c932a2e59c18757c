#pragma once

#include <cstdint>
#include <string_view>

namespace samphire
{

/// Reason for the outcome of a request, as reported to its caller.
enum class outcome_reason : std::uint8_t
{
    none = 0,
    overloaded,
    deadline,
    leaving,
    no_upstream,
    quarantined,
    upstream_failed,
    peer_unreachable,
    ticket_expired,
    ticket_closed,
    in_progress,
    platform_unavailable,
    parent_repeatable,
    cancelled,
    table_full,
    starting,
    upstream_crashed,
};

/// Returns the fixed text of the reason that the Samphire-Reason header
/// carries.
std::string_view reason_text(outcome_reason reason);

} // namespace samphire
