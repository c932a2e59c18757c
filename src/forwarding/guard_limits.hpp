#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Bounds of one guard.
struct guard_limits
{
    /// Requests that wait for a slot.
    std::size_t queue_{2048};
    /// Bytes of answers kept for entries that ask again.
    std::size_t retained_bytes_{16u << 20};
    /// How long such an answer, and the closing of a request, is kept: longer
    /// than any request lives at its entry.
    absl::Duration retention_{absl::Seconds(30)};
    /// Time that an upstream gets beyond the deadline to give its own answer.
    absl::Duration answer_grace_{absl::Milliseconds(60)};
    /// Pause between attempts to reach an upstream that refuses connections.
    absl::Duration probe_pause_{absl::Milliseconds(150)};

    friend bool operator==(guard_limits const&, guard_limits const&) = default;
};

} // namespace samphire
