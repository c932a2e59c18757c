#pragma once

#include "forwarding/dispatch_rank.hpp"
#include "forwarding/messages/execute_order.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// A request that waits at a guard or runs at its upstream.
struct guarded_execution
{
    execute_order order_;
    dispatch_rank rank_;
    absl::Time arrived_;
    absl::Time deadline_;
    absl::Time started_{absl::InfinitePast()};
    bool running_{};
    /// The entry's connection is gone; it may ask again.
    bool orphaned_{};
};

} // namespace samphire
