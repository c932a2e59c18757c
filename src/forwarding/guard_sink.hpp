#pragma once

#include "forwarding/decision_note.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <concepts>

namespace samphire
{

/// What a guard's decisions lead to.
template <class T>
concept guard_sink = requires(
    T sink,
    execution_key key,
    execute_order const& order,
    execute_result const& result,
    upstream_record const& upstream,
    absl::Duration left,
    decision_note const& note)
{
    /// Sends the request to the upstream; an answer or a failure follows.
    {sink.start(order, upstream, left)};
    /// Closes the connection on which the request runs; nothing follows.
    {sink.abort(key)};
    /// False when the entry cannot be reached.
    {
        sink.reply(result)
        } -> std::same_as<bool>;
    /// Tries to connect to the upstream.
    {sink.probe()};
    {sink.note(note)};
};

} // namespace samphire
