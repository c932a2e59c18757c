#pragma once

#include "base/call_id.hpp"
#include "execution/binding_outcome.hpp"
#include "execution/execution_ticket.hpp"

#include <optional>

namespace samphire
{

/// Reports to one call whether the idempotency key of the call is bound to a
/// ticket, and to which.
struct binding_result
{
    call_id const call_{};
    binding_outcome const outcome_{};
    /// Present exactly when the outcome is bound.
    std::optional<execution_ticket> const ticket_{};

    friend bool
    operator==(binding_result const&, binding_result const&) = default;
};

} // namespace samphire
