#pragma once

#include <cstdint>

namespace samphire
{

/// How a binding_request ended.
enum class binding_outcome : std::uint8_t
{
    /// The key has a ticket.
    bound,
    /// The key had no usable ticket, and none was stored.
    not_bound,
    /// Whether the key has a ticket is not known.
    unknown,
};

} // namespace samphire
