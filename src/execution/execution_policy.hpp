#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_lookup_result.hpp"
#include "messages/answered_record.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <vector>

namespace samphire
{

/// Requires a compile-time policy that records the unrepeatable requests which
/// one incarnation of a guard has accepted. The constructor of the policy takes
/// the incarnation of the guard and a registry_limits.
template <class T>
concept execution_policy = requires(
    T registry,
    T const& view,
    execution_ticket const& ticket,
    request_id const& nonce,
    stored_answer const& answer,
    bool close,
    absl::Time now)
{
    /// Accepts a ticket for execution and returns its state. The state `fresh`
    /// means that the ticket is now recorded as running and its request must be
    /// run; with any other state the request must not be run.
    {
        registry.accept(ticket, now)
        } -> std::same_as<ticket_lookup_result>;
    /// Stores the answer to the request of an accepted ticket.
    {registry.record_answer(nonce, answer, now)};
    /// Closes an accepted ticket that was not started and never will be.
    {registry.close(nonce, now)};
    /// Records that an accepted ticket was started but gave no complete answer.
    {registry.record_unknown(nonce, now)};
    /// Returns the state of a ticket. When `close` is true, a ticket that was
    /// not seen before is closed.
    {
        registry.query(ticket, close, now)
        } -> std::same_as<ticket_lookup_result>;
    /// Returns the epoch that new tickets must carry.
    {
        registry.epoch(now)
        } -> std::same_as<ticket_epoch>;
    /// Returns the execution records, in the states answered and unknown, that
    /// this guard sends to its successor.
    {
        view.records()
        } -> std::same_as<std::vector<answered_record>>;
};

} // namespace samphire
