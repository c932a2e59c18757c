#pragma once

#include "base/call_id.hpp"
#include "base/request_id.hpp"
#include "execution/execution_ticket.hpp"

#include <optional>

namespace samphire
{

/// Requests the ticket of the idempotency key of a call.
struct binding_request
{
    call_id const call_{};
    /// From key_identity().
    request_id const key_{};
    /// Becomes the ticket of the key unless the key has one.
    execution_ticket const offered_ticket_{};
    /// Closed ticket of the key; the offered ticket may replace it.
    std::optional<execution_ticket> const closed_ticket_{};

    friend bool
    operator==(binding_request const&, binding_request const&) = default;
};

} // namespace samphire
