#pragma once

#include "execution/execution_ticket.hpp"

#include <cstdint>

namespace samphire
{

/// Ticket that the platform holds for one idempotency key.
struct key_binding
{
    execution_ticket const ticket_{};
    /// Incremented when a closed ticket is replaced.
    std::uint64_t const generation_{};
    /// Number of the shard write that stored the binding; gives its age.
    std::uint64_t const write_number_{};

    friend bool operator==(key_binding const&, key_binding const&) = default;
};

} // namespace samphire
