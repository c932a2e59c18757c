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

/// Requirements on the type that carries out the decisions of a request_entry.
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
    /// Sends the message to the daemon. Returns false, without having sent
    /// anything, when there is no connection to the daemon.
    {
        sink.send(daemon, std::move(message))
        } -> std::same_as<bool>;
    /// Sends the daemon a beacon that the daemon has to answer.
    {sink.ping(daemon)};
    /// Sends the answer to the client whose request has this token.
    {sink.answer(token, answer)};
    /// Returns the execution with this attempt id if the local upstream is
    /// running it; empty otherwise.
    {
        sink.find_running_execution(attempt)
        } -> std::same_as<std::optional<running_parent>>;
    /// Reports to the guard of the local upstream that a call of the execution
    /// `parent` ended, the pressures of the services that were called, and
    /// whether the call failed.
    {sink.on_call_ended(parent, pressures, true)};
    {sink.record_decision(record)};
};

} // namespace samphire
