#pragma once

#include <cstdint>

namespace samphire
{

/// Outcome of a request as reported to its caller.
enum class call_outcome : std::uint8_t
{
    /// Ran; the complete answer is attached.
    completed = 0,
    /// Did not run and never will.
    not_run = 1,
    /// May have run.
    unknown = 2,
};

} // namespace samphire
