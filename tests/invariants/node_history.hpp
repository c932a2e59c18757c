#pragma once

#include "base/revision.hpp"

#include <absl/time/time.h>

namespace samphire::invariants
{

/// State of one daemon that the checks of a run compare with its actions.
struct node_history
{
    /// End of the latest process that was killed or stopped.
    absl::Time ended_at_{absl::InfinitePast()};
    /// When the daemon announced that it is leaving.
    absl::Time draining_since_{absl::InfiniteFuture()};
    absl::Time paused_until_{absl::InfinitePast()};
    bool stopping_{};
    /// Policy revision at the latest check.
    revision revision_{};
};

} // namespace samphire::invariants
