#pragma once

#include <cstdint>

namespace samphire
{

/// What is held against a request.
enum class suspicion : std::uint8_t
{
    clear,
    /// Was in flight during a crash; runs alone.
    suspect,
    /// Crashed an upstream again; not run until the quarantine ends.
    quarantined,
};

} // namespace samphire
