#pragma once

#include "base/revision.hpp"

#include <absl/time/time.h>

namespace samphire::invariants
{

/// Shutdown, drain and pause times of one node's daemon and its policy
/// revision, against which a random run checks the daemon's actions.
struct node_history
{
    /// Time at which the latest daemon process was killed or stopped.
    absl::Time ended_at_{absl::InfinitePast()};
    /// Time at which the daemon first announced that it is leaving.
    absl::Time draining_since_{absl::InfiniteFuture()};
    absl::Time paused_until_{absl::InfinitePast()};
    bool stopping_{};
    /// Policy revision of the daemon at the latest check.
    revision revision_{};
};

} // namespace samphire::invariants
