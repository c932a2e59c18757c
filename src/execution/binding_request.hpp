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
    /// Becomes the ticket of the key unless the key already has a ticket.
    execution_ticket const offered_ticket_{};
    /// Ticket of the key that is known to be closed; the offered ticket may
    /// replace this one.
    std::optional<execution_ticket> const closed_ticket_{};

    friend bool
    operator==(binding_request const&, binding_request const&) = default;
};

} // namespace samphire
