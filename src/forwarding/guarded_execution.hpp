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
    /// True while the upstream runs the request; false while the request waits
    /// for a slot.
    bool is_running_{};
    /// Pressures of the services that were called for this request.
    std::vector<service_pressure> service_pressures_{};
    /// Whether a call made for this request failed. If one did, a failure of
    /// the request itself does not count against the upstream.
    bool call_failed_{};
    /// Whether the connection to the entry was lost and the entry has not
    /// queried the outcome since.
    bool entry_connection_lost_{};
};

} // namespace samphire
