#pragma once

#include "routing/domain_spill.hpp"
#include "routing/hedge_budget.hpp"
#include "routing/peer_selector.hpp"
#include "routing/service_peers.hpp"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace samphire
{

/// Selection strategy of the product: chooses the better of two random peers by
/// (in flight + 1) x latency / slots. Stragglers get only probes, cold peers
/// get less than their share, and the local failure domain is preferred while
/// it has free slots.
class two_choice_selector
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
        domain_spill domain_spill_;
        hedge_budget hedge_budget_;
    };
    struct weighted_candidate
    {
        std::size_t candidate_index_{};
        /// Weight of the peer in the random draw.
        double weight_{};
        /// Expected cost of a call to the peer; the cheaper of two drawn peers
        /// is chosen.
        double cost_{};
    };

    static weighted_candidate const* pick_random_candidate(
        std::vector<weighted_candidate> const& weighted_candidates,
        weighted_candidate const* already_drawn,
        random_source& random);
    static std::vector<weighted_candidate> eligible_candidates(
        service_state& state,
        std::span<peer_candidate const> candidates,
        std::span<endpoint const> excluded,
        random_source& random,
        absl::Time now);

    absl::flat_hash_map<service_name, service_state> services_;
};

} // namespace samphire
