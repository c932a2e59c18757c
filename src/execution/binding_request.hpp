#pragma once

#include "base/call_id.hpp"
#include "base/request_id.hpp"
#include "execution/execution_ticket.hpp"

#include <optional>

namespace samphire
{

/// Requests the ticket to which the idempotency key of a call is bound.
struct binding_request
{
    call_id const call_{};
    /// Hash of the idempotency key, as key_identity() returns it.
    request_id const key_{};
    /// Ticket to which the key is bound unless the key already has a ticket.
    execution_ticket const offered_ticket_{};
    /// Closed ticket to which the key is bound; `offered_ticket_` may replace
    /// this ticket. Empty when no closed ticket of the key is known.
    std::optional<execution_ticket> const closed_ticket_{};

    friend bool
    operator==(binding_request const&, binding_request const&) = default;
};

} // namespace samphire
