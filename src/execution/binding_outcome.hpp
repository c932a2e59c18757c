#pragma once

#include <cstdint>

namespace samphire
{

/// States whether the idempotency key of a binding_request is bound to a
/// ticket.
enum class binding_outcome : std::uint8_t
{
    /// The idempotency key is bound to a ticket.
    bound,
    /// The idempotency key had no usable ticket, and no ticket was stored for
    /// it.
    not_bound,
    /// It is not known whether the idempotency key is bound to a ticket.
    unknown,
};

} // namespace samphire
