#pragma once

#include "forwarding/verdict_reason.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// One decision of an entry or a guard, and the values that the decision was
/// based on, for the log and the metrics. The string views are valid only
/// during the call that receives the record.
struct decision_record
{
    std::string_view event_{};
    std::string_view attempt_{};
    verdict_reason reason_{verdict_reason::none};
    std::string_view service_{};
    std::string_view route_{};
    /// How far the execution had come when it ended; empty at an entry.
    std::string_view progress_{};
    /// Address of the guard's daemon; may be empty.
    std::string_view peer_{};
    std::uint64_t policy_version_{};
    std::uint64_t exchange_{};
    /// Load of the upstream that the decision was based on: running executions,
    /// queued executions and slots; -1 when unknown.
    std::int64_t running_executions_{-1};
    std::int64_t queued_executions_{-1};
    std::int64_t slots_{-1};
    /// Time left until the deadline of the request; -1 when unknown.
    std::int64_t remaining_ms_{-1};
    std::int64_t wait_ms_{-1};
    /// Age of the load report that the decision was based on.
    std::int64_t load_report_age_ms_{-1};
    /// Pressure that the decision was based on, in thousandths of an urgency
    /// class.
    std::int64_t pressure_permille_{-1};
    /// Rate limit of the upstream in requests per 1,000 s, 0 for none; -1 when
    /// unknown.
    std::int64_t limit_per_ks_{-1};
    /// HTTP status of the answer to the client; -1 for none.
    std::int64_t status_{-1};
    /// Number of guards that the request was sent to; -1 when unknown.
    std::int64_t guards_tried_{-1};
};

} // namespace samphire
