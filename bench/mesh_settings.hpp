#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::fake
{

/// Network between the daemons of a virtual mesh.
struct mesh_settings
{
    std::uint64_t const seed_{1};
    absl::Duration const local_latency_{absl::Microseconds(250)};
    absl::Duration const domain_latency_{absl::Milliseconds(1)};
    /// Random extra latency of each datagram, which reorders them.
    absl::Duration const datagram_jitter_{absl::Microseconds(500)};
    /// Age of the load that upstreams report.
    absl::Duration const report_delay_{};
    unsigned const datagram_loss_percent_{};
    unsigned const datagram_repeat_percent_{};

    friend bool
    operator==(mesh_settings const&, mesh_settings const&) = default;
};

} // namespace samphire::fake
