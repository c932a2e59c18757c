#pragma once

#include "forwarding/decision_record.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/upstream_record.hpp"

#include <absl/time/time.h>

#include <concepts>

namespace samphire
{

/// Requirements on the type that carries out the decisions of an
/// upstream_guard.
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
    /// Sends the request to the upstream. Its end is reported by
    /// upstream_guard::on_answer() or on_failure().
    {sink.start(order, upstream, left)};
    /// Withdraws a request that was started if none of it has been sent to the
    /// upstream, because the connection is not established yet. Returns false
    /// when the upstream may have received it.
    {
        sink.withdraw(key)
        } -> std::same_as<bool>;
    /// Closes the connection to the upstream on which the request runs. The
    /// end of the request is not reported to the guard.
    {sink.abort(key)};
    /// Sends the result to the entry that ordered the execution. Returns false
    /// when that entry cannot be reached.
    {
        sink.reply(result)
        } -> std::same_as<bool>;
    /// Tries to connect to the upstream and reports the result by
    /// upstream_guard::on_probe().
    {sink.probe_upstream()};
    /// Called when an answer states that the upstream is leaving. The sink sets
    /// the record of the upstream accordingly.
    {sink.on_upstream_leaving()};
    {sink.record_decision(record)};
};

} // namespace samphire
