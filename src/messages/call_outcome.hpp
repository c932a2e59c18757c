#pragma once

#include <cstdint>

namespace samphire
{

/// Outcome of a request as reported to its caller.
enum class call_outcome : std::uint8_t
{
    /// The request ran, and the complete answer is attached.
    completed = 0,
    /// The request did not run and never will.
    not_run = 1,
    /// The request may have run.
    unknown = 2,
};

} // namespace samphire
