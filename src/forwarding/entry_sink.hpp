#pragma once

#include "forwarding/client_answer.hpp"
#include "forwarding/client_token.hpp"
#include "forwarding/decision_record.hpp"
#include "forwarding/messages/relay_message.hpp"
#include "forwarding/running_parent.hpp"
#include "forwarding/service_pressure.hpp"

#include <concepts>
#include <optional>
#include <vector>

namespace samphire
{

/// Carries out the decisions of a request_entry.
template <class T>
concept entry_sink = requires(
    T sink,
    endpoint daemon,
    relay_message message,
    client_token token,
    client_answer const& answer,
    attempt_id const& attempt,
    execution_key parent,
    std::vector<service_pressure> const& pressures,
    decision_record const& record)
{
    /// Returns false when there is no connection, so that nothing was sent.
    {
        sink.send(daemon, std::move(message))
        } -> std::same_as<bool>;
    /// Sends the daemon a beacon that it has to answer.
    {sink.ping(daemon)};
    {sink.answer(token, answer)};
    /// The execution with this attempt id while the local upstream runs it;
    /// empty otherwise.
    {
        sink.find_running(attempt)
        } -> std::same_as<std::optional<running_parent>>;
    /// Reports to the guard that a call of the execution `parent` ended, the
    /// pressures that the call met, and whether the call failed.
    {sink.on_call_ended(parent, pressures, true)};
    {sink.record_decision(record)};
};

} // namespace samphire
