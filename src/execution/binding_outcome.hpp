#pragma once

#include <cstdint>

namespace samphire
{

/// Result of a binding_request.
enum class binding_outcome : std::uint8_t
{
    /// The key has a ticket.
    bound,
    /// The key had no usable ticket, and no ticket was stored for it.
    not_bound,
    /// Whether the key has a ticket is not known.
    unknown,
};

} // namespace samphire
