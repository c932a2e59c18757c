#pragma once

#include "base/random_source.hpp"
#include "base/service_name.hpp"
#include "messages/call_outcome.hpp"
#include "routing/peer_candidate.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace samphire
{

/// Requirements on a peer selection strategy, which chooses the peer whose
/// guard runs a call.
template <class T>
concept peer_selector = requires(
    T selector,
    service_name const& service,
    std::span<peer_candidate const> candidates,
    std::span<endpoint const> excluded,
    random_source& random,
    endpoint peer,
    call_outcome outcome,
    absl::Duration latency,
    absl::Time now)
{
    /// Returns the index of the chosen candidate; none when all candidates are
    /// excluded.
    {
        selector.select(service, candidates, excluded, random, now)
        } -> std::same_as<std::optional<std::size_t>>;
    /// Records that a call was sent to the peer.
    {selector.on_call_sent(service, peer, now)};
    /// Records that the reply to a call arrived, or that the call was given up
    /// with outcome unknown.
    {selector.on_call_finished(service, peer, outcome, latency, now)};
    /// Returns the time after which a second copy of a repeatable call, a
    /// hedge, is sent; infinite for never.
    {
        selector.hedge_delay(service, now)
        } -> std::same_as<absl::Duration>;
    /// Takes a hedge from the budget. Returns true when the hedge may be sent
    /// now.
    {
        selector.try_take_hedge(service, now)
        } -> std::same_as<bool>;
};

} // namespace samphire
