#pragma once

#include "forwarding/client_answer.hpp"
#include "forwarding/client_token.hpp"
#include "forwarding/decision_note.hpp"
#include "forwarding/messages/relay_message.hpp"
#include "forwarding/running_parent.hpp"
#include "forwarding/service_pressure.hpp"

#include <concepts>
#include <optional>
#include <vector>

namespace samphire
{

/// What an entry's decisions lead to.
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
    decision_note const& note)
{
    /// False when there is no connection, so that nothing was sent.
    {
        sink.send(daemon, std::move(message))
        } -> std::same_as<bool>;
    /// Asks the daemon for a sign of life.
    {sink.ask(daemon)};
    {sink.answer(token, answer)};
    /// The request of that id, while the own upstream runs it.
    {
        sink.find_running(attempt)
        } -> std::same_as<std::optional<running_parent>>;
    /// A call made for it ended; whether it failed.
    {sink.on_call_ended(parent, pressures, true)};
    {sink.note(note)};
};

} // namespace samphire
