#pragma once

#include "forwarding/verdict_reason.hpp"

#include <cstdint>
#include <string_view>

namespace samphire
{

/// One decision and the values it was based on, for the log and the metrics.
/// The string views are valid only during the call that receives the record.
struct decision_record
{
    std::string_view event_{};
    std::string_view attempt_{};
    verdict_reason reason_{verdict_reason::none};
    std::string_view service_{};
    std::string_view route_{};
    std::string_view peer_{};
    std::uint64_t policy_version_{};
    std::uint64_t exchange_{};
    std::int64_t running_{-1};
    std::int64_t queued_{-1};
    std::int64_t slots_{-1};
    std::int64_t left_ms_{-1};
    std::int64_t wait_ms_{-1};
    /// Age of the load report that the decision was based on.
    std::int64_t report_age_ms_{-1};
    /// Pressure that the decision was based on, in thousandths of an urgency
    /// class.
    std::int64_t pressure_permille_{-1};
    std::int64_t status_{-1};
    std::int64_t tries_{-1};
};

} // namespace samphire
