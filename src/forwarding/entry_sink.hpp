#pragma once

#include "forwarding/client_answer.hpp"
#include "forwarding/client_token.hpp"
#include "forwarding/decision_note.hpp"
#include "forwarding/messages/relay_message.hpp"

#include <concepts>

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
    decision_note const& note)
{
    /// False when there is no connection, so that nothing was sent.
    {
        sink.send(daemon, std::move(message))
        } -> std::same_as<bool>;
    {sink.answer(token, answer)};
    {sink.note(note)};
};

} // namespace samphire
