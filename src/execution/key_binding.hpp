#pragma once

#include "execution/execution_ticket.hpp"

#include <cstdint>

namespace samphire
{

/// Ticket to which one idempotency key is bound in the platform.
struct key_binding
{
    execution_ticket const ticket_{};
    /// 1 for the first ticket of the key; incremented when a closed ticket is
    /// replaced.
    std::uint64_t const generation_{};
    /// Number of the shard write that stored the binding. The oldest bindings
    /// have the lowest numbers.
    std::uint64_t const write_number_{};

    friend bool operator==(key_binding const&, key_binding const&) = default;
};

} // namespace samphire
