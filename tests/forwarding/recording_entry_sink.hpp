#pragma once

#include "forwarding/entry_sink.hpp"

#include <optional>
#include <utility>
#include <vector>

namespace samphire
{

/// Sink of a request_entry that records the decisions for the tests.
struct recording_entry_sink
{
    bool send(endpoint daemon, relay_message message)
    {
        sent_messages_.emplace_back(daemon, std::move(message));
        return true;
    }

    void ping(endpoint daemon)
    {
        pinged_daemons_.push_back(daemon);
    }

    void answer(client_token, client_answer const& answer)
    {
        answers_.push_back(answer);
    }

    std::optional<running_parent>
    find_running_execution(attempt_id const&) const
    {
        return parent_;
    }

    void on_call_ended(
        execution_key, std::vector<service_pressure> const&, bool failed)
    {
        failed_calls_ += failed ? 1 : 0;
    }

    void record_decision(decision_record const&)
    {
    }

    std::vector<std::pair<endpoint, relay_message>> sent_messages_;
    std::vector<endpoint> pinged_daemons_;
    std::vector<client_answer> answers_;
    std::optional<running_parent> parent_;
    int failed_calls_{};
};

} // namespace samphire
