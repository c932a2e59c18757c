#pragma once

#include <cstdint>

namespace samphire
{

/// State of a ticket in the execution records of its guard.
enum class ticket_state : std::uint8_t
{
    /// The guard has not seen the ticket before; its request may run now.
    fresh = 0,
    /// The request is queued or running and has no answer yet.
    running = 1,
    /// The request ran, and its answer is stored.
    answered = 2,
    /// The request has not run and never will.
    closed = 3,
    /// The request ran or may have run, and no answer is stored.
    unknown = 4,
    /// The guard keeps no records for the epoch or incarnation of the ticket.
    expired = 5,
};

} // namespace samphire
