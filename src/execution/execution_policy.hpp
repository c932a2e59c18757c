#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_lookup_result.hpp"
#include "messages/answered_record.hpp"

#include <absl/time/time.h>

#include <concepts>
#include <vector>

namespace samphire
{

/// Records of the unrepeatable requests that one incarnation of a guard has
/// accepted. Constructed with the guard's incarnation and its bounds.
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
    /// Requests the execution of a ticket. `fresh` means that the ticket is now
    /// recorded as running and must be run; with any other state it must not
    /// be run.
    {
        registry.accept(ticket, now)
        } -> std::same_as<ticket_lookup_result>;
    /// Stores the answer of an accepted ticket that ran.
    {registry.record_answer(nonce, answer, now)};
    /// Closes an accepted ticket that was not started and never will be.
    {registry.close(nonce, now)};
    /// Records that an accepted ticket was started but gave no complete answer.
    {registry.record_unknown(nonce, now)};
    /// Looks up a ticket; with `close`, a ticket not seen before is closed.
    {
        registry.query(ticket, close, now)
        } -> std::same_as<ticket_lookup_result>;
    /// Epoch that new tickets must carry.
    {
        registry.epoch(now)
        } -> std::same_as<ticket_epoch>;
    /// Records that the successor of this guard needs, in the states answered
    /// and unknown.
    {
        view.records()
        } -> std::same_as<std::vector<answered_record>>;
};

} // namespace samphire
