#pragma once

#include <cstdint>

namespace samphire
{

/// What a caller is told about its request.
enum class call_outcome : std::uint8_t
{
    /// Ran; the whole answer is attached.
    completed = 0,
    /// Did not run and never will.
    not_run = 1,
    /// May have run.
    unknown = 2,
};

} // namespace samphire
