#pragma once

#include "forwarding/guard_sink.hpp"

#include <string>
#include <vector>

namespace samphire
{

/// Sink of an upstream_guard that records the decisions for the tests.
class recording_guard_sink
{
public:
    void start(
        execute_order const& order, upstream_record const&, absl::Duration left)
    {
        started_keys_.push_back(order.key_);
        last_remaining_time_ = left;
    }

    bool withdraw(execution_key key)
    {
        return std::erase(connecting_keys_, key) > 0;
    }

    void abort(execution_key key)
    {
        aborted_keys_.push_back(key);
    }

    bool reply(execute_result const& result)
    {
        results_.push_back(result);
        return true;
    }

    void on_upstream_leaving()
    {
        ++leaving_count_;
    }

    void probe_upstream()
    {
        ++probe_count_;
    }

    void record_decision(decision_record const& record)
    {
        event_names_.emplace_back(record.event_);
    }

    /// Executions whose connection to the upstream is not established yet.
    std::vector<execution_key> connecting_keys_;
    std::vector<execution_key> started_keys_;
    /// Time that the last started execution was given.
    absl::Duration last_remaining_time_;
    std::vector<execution_key> aborted_keys_;
    std::vector<execute_result> results_;
    std::vector<std::string> event_names_;
    unsigned leaving_count_{};
    unsigned probe_count_{};
};

} // namespace samphire
