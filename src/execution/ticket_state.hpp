#pragma once

#include <cstdint>

namespace samphire
{

/// State of a ticket at its guard.
enum class ticket_state : std::uint8_t
{
    /// Not seen before; it may run now.
    fresh = 0,
    /// Accepted or running; there is no answer yet.
    running = 1,
    /// Ran; its answer is stored.
    answered = 2,
    /// Never ran and never will.
    closed = 3,
    /// Ran, or may have run; no answer is stored.
    unknown = 4,
    /// Of an epoch or incarnation that this guard keeps no records for.
    expired = 5,
};

} // namespace samphire
