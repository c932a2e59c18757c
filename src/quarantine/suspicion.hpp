#pragma once

#include <cstdint>

namespace samphire
{

/// Degree to which a request is suspected of crashing upstreams.
enum class suspicion : std::uint8_t
{
    /// The request is not suspected.
    clear,
    /// The request was in flight during a crash and must run alone.
    suspect,
    /// The request caused a second crash and must not run until its quarantine
    /// ends.
    quarantined,
};

} // namespace samphire
