#pragma once

#include "forwarding/decision_record.hpp"
#include "relay/event_rate_limiter.hpp"
#include "relay/log_writer.hpp"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace samphire
{

/// Writes the log lines of the traffic duty as key=value text, with a rate
/// limit for each event.
class relay_log
{
public:
    relay_log(log_writer& writer, double lines_per_second)
        : writer_(writer), rate_limiter_(lines_per_second),
          success_rate_limiter_(lines_per_second / success_rate_divisor)
    {
    }

    void log_decision(decision_record const& record, absl::Time now);
    /// Logs an event that is not a decision on a request; `fields` is key=value
    /// text.
    void log_event(
        std::string_view level,
        std::string_view name,
        std::string const& fields,
        absl::Time now);

private:
    /// The rate of log lines of answered requests is divided by this number, so
    /// that failures remain visible in the log.
    static constexpr double success_rate_divisor = 8;

    log_writer& writer_;
    event_rate_limiter rate_limiter_;
    event_rate_limiter success_rate_limiter_;
};

} // namespace samphire
