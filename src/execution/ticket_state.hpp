#pragma once

#include <cstdint>

namespace samphire
{

/// What a guard knows of a ticket.
enum class ticket_state : std::uint8_t
{
    /// Not seen before; it may run now.
    fresh = 0,
    /// Accepted or running; its answer is still to come.
    running = 1,
    /// Ran; the record holds its answer.
    answered = 2,
    /// Never ran and never will.
    closed = 3,
    /// Ran, or may have run; there is no answer to give.
    unknown = 4,
    /// Of an epoch or incarnation that this guard keeps no records for.
    expired = 5,
};

} // namespace samphire
