#pragma once

#include "forwarding/dispatch_rank.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/service_pressure.hpp"

#include <absl/time/time.h>

#include <vector>

namespace samphire
{

/// A request that waits at a guard or runs at the guard's upstream.
struct guarded_execution
{
    execute_order order_;
    dispatch_rank rank_;
    absl::Time arrived_at_;
    absl::Time deadline_;
    absl::Time started_at_{absl::InfinitePast()};
    bool running_{};
    /// Pressures that the calls made for this request have met.
    std::vector<service_pressure> pressures_{};
    /// A call made for this request failed, so a failure of the request itself
    /// does not count against the upstream.
    bool call_failed_{};
    /// The connection to the entry was lost; the entry may query the outcome
    /// later.
    bool orphaned_{};
};

} // namespace samphire
