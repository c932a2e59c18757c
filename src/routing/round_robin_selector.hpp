#pragma once

#include "routing/peer_selector.hpp"

#include <absl/container/flat_hash_map.h>

namespace samphire
{

/// Baseline selection strategy: chooses each candidate in turn.
class round_robin_selector
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
    absl::flat_hash_map<service_name, std::size_t> next_index_by_service_;
};

} // namespace samphire
