#pragma once

#include "base/revision.hpp"

#include <absl/time/time.h>

namespace samphire::invariants
{

/// What happened to one daemon of a run.
struct node_history
{
    /// End of the last process that was killed or stopped.
    absl::Time ended_{absl::InfinitePast()};
    absl::Time drained_{absl::InfiniteFuture()};
    absl::Time frozen_until_{absl::InfinitePast()};
    bool stopping_{};
    revision revision_{};
};

} // namespace samphire::invariants
