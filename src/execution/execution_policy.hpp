#pragma once

#include "execution/execution_ticket.hpp"
#include "execution/ticket_finding.hpp"
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
    /// Asks to run the ticket. `fresh` means that it is now recorded as
    /// running and must be run; any other state means that it must not be.
    {
        registry.accept(ticket, now)
        } -> std::same_as<ticket_finding>;
    /// The accepted ticket ran; keeps its answer.
    {registry.record_answer(nonce, answer, now)};
    /// The accepted ticket was never started and never will be.
    {registry.close(nonce, now)};
    /// The accepted ticket was started and gave no whole answer.
    {registry.record_unknown(nonce, now)};
    /// Looks a ticket up and, with `close`, closes one not seen before.
    {
        registry.query(ticket, close, now)
        } -> std::same_as<ticket_finding>;
    /// Epoch that new tickets must carry.
    {
        registry.epoch(now)
        } -> std::same_as<ticket_epoch>;
    /// Answered and unknown records, for a successor.
    {
        view.records()
        } -> std::same_as<std::vector<answered_record>>;
};

} // namespace samphire
