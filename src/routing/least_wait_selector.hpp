#pragma once

#include "routing/hedge_budget.hpp"
#include "routing/peer_selector.hpp"
#include "routing/service_peers.hpp"

#include <absl/container/flat_hash_map.h>

namespace samphire
{

/// Selection strategy that can replace two_choice_selector: chooses the peer
/// with the shortest expected wait, which is the estimated queue time plus the
/// transfer time, after the adaptive greedy policy of "Dynamic Kernel/Device
/// Mapping Strategies for GPU-assisted HPC Systems".
class least_wait_selector
{
public:
    std::optional<std::size_t> select(
        service_name const& service,
        std::span<peer_candidate const> candidates,
        std::span<endpoint const> excluded,
        random_source& random,
        absl::Time now);
    void
    on_call_sent(service_name const& service, endpoint peer, absl::Time now);
    void on_call_finished(
        service_name const& service,
        endpoint peer,
        call_outcome outcome,
        absl::Duration latency,
        absl::Time now);
    absl::Duration hedge_delay(service_name const& service, absl::Time now);
    bool try_take_hedge(service_name const& service, absl::Time now);

private:
    struct service_state
    {
        service_peers peers_;
        hedge_budget hedge_budget_;
        /// Lowest latency of any peer; serves as an estimate of the run time of
        /// a call without waiting.
        absl::Duration min_run_time_{absl::InfiniteDuration()};
    };

    static absl::Duration expected_wait(
        service_state const& state,
        peer_candidate const& candidate,
        peer_load const& load,
        absl::Time now);

    absl::flat_hash_map<service_name, service_state> services_;
};

} // namespace samphire
