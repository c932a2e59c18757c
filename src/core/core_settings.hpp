#pragma once

#include "base/endpoint.hpp"
#include "execution/registry_limits.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace samphire
{

/// Limits and timeouts of daemon_core.
struct core_settings
{
    std::size_t const call_capacity_{4096};
    std::size_t const queue_capacity_{256};
    registry_limits const registry_{};
    /// Time before the deadline of a call at which the state of its ticket is
    /// queried when no reply has arrived.
    absl::Duration const ticket_query_margin_{absl::Milliseconds(200)};
    /// Time without a new announcement after which the local upstream is
    /// withdrawn: queued requests are refused and no new ones are accepted.
    absl::Duration const announcement_lifetime_{absl::Seconds(3)};
    /// Maximum time that a starting daemon waits for a policy document before
    /// it serves with the safe defaults.
    absl::Duration const initial_read_timeout_{absl::Seconds(2)};
    /// Time for which a stopping daemon still refuses new work before it exits.
    absl::Duration const shutdown_linger_duration_{absl::Seconds(1)};
    /// Time between two events of daemon_core above which the process counts as
    /// having been paused.
    absl::Duration const pause_threshold_{absl::Seconds(2)};
    /// Addresses of daemons that a starting daemon joins when the platform does
    /// not answer.
    std::vector<endpoint> const seeds_{};

    friend bool
    operator==(core_settings const&, core_settings const&) = default;
};

} // namespace samphire
