#pragma once

#include "forwarding/decision_record.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <concepts>

namespace samphire
{

/// Carries out the decisions of an upstream_guard.
template <class T>
concept guard_sink = requires(
    T sink,
    execution_key key,
    execute_order const& order,
    execute_result const& result,
    upstream_record const& upstream,
    absl::Duration left,
    decision_record const& record)
{
    /// Sends the request to the upstream. The guard is then told of an answer
    /// or a failure.
    {sink.start(order, upstream, left)};
    /// Closes the connection on which the request runs. The guard is told
    /// nothing further about the request.
    {sink.abort(key)};
    /// Returns false when the entry cannot be reached.
    {
        sink.reply(result)
        } -> std::same_as<bool>;
    /// Tries to connect to the upstream.
    {sink.probe()};
    {sink.record_decision(record)};
};

} // namespace samphire
