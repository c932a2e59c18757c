#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Bounds of one entry.
struct entry_limits
{
    /// Requests in progress.
    std::size_t requests_{8192};
    /// Guards that may hand a request back, unrun, before it is refused.
    std::size_t placements_{3};
    /// Time beyond the deadline in which a guard's verdict is awaited.
    absl::Duration verdict_grace_{absl::Milliseconds(120)};
    /// How long the outcome of an unrepeatable request is sought after its
    /// connection to the guard was lost.
    absl::Duration resolve_time_{absl::Seconds(2)};
    /// A guard that handed a request back is passed over for this long.
    absl::Duration closed_pause_{absl::Milliseconds(200)};
    /// Least pause for a client whose request was shed; up to three times as
    /// long, so that those who come back do not come together.
    absl::Duration shed_retry_after_{absl::Milliseconds(400)};
    /// The same when no upstream can be reached: links are lost for seconds,
    /// and clients come back only once or twice.
    absl::Duration unreachable_retry_after_{absl::Milliseconds(700)};
    /// A guard that was sent work is asked for a sign of life when nothing was
    /// heard of it for so long, and again after the same time.
    absl::Duration ask_after_{absl::Milliseconds(150)};
    /// A call without an upstream waits for one for so long, and for a quarter
    /// of its time at most: daemons that have just started find each other
    /// within 0.3 s, and a refused call wastes its parent's work.
    absl::Duration park_time_{absl::Milliseconds(300)};
    /// Pause between two looks for an upstream.
    absl::Duration park_step_{absl::Milliseconds(20)};
    /// Told to a client when nothing is known about the wait.
    absl::Duration default_retry_after_{absl::Milliseconds(200)};

    friend bool operator==(entry_limits const&, entry_limits const&) = default;
};

} // namespace samphire
