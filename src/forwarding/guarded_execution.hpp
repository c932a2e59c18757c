#pragma once

#include "forwarding/dispatch_rank.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/service_pressure.hpp"

#include <absl/time/time.h>

#include <vector>

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
    /// Met by the calls made for it.
    std::vector<service_pressure> pressures_{};
    /// A call made for it failed, so that its own failure says nothing of its
    /// upstream.
    bool call_failed_{};
    /// The entry's connection is gone; it may ask again.
    bool orphaned_{};
};

} // namespace samphire
