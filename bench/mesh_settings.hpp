#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace samphire::fake
{

/// Seed, network latencies, datagram faults and load report delay of a virtual
/// mesh.
struct mesh_settings
{
    std::uint64_t const seed_{1};
    /// Network latency within a failure domain.
    absl::Duration const local_latency_{absl::Microseconds(250)};
    /// Network latency between two failure domains.
    absl::Duration const cross_domain_latency_{absl::Milliseconds(1)};
    /// Maximum of the random delay that is added to the latency of a datagram.
    /// Different delays reorder datagrams.
    absl::Duration const datagram_jitter_{absl::Microseconds(500)};
    /// Time between the measurement of an upstream's load and its report.
    absl::Duration const load_report_delay_{};
    unsigned const datagram_loss_percent_{};
    unsigned const datagram_repeat_percent_{};

    friend bool
    operator==(mesh_settings const&, mesh_settings const&) = default;
};

} // namespace samphire::fake
