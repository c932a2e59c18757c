#pragma once

#include "forwarding/decision_note.hpp"
#include "relay/event_budget.hpp"
#include "relay/log_writer.hpp"

#include <absl/time/time.h>

#include <string>
#include <string_view>

namespace samphire
{

/// Log of the traffic duty: key=value lines, bounded for each event.
class relay_log
{
public:
    relay_log(log_writer& writer, double lines_per_second)
        : writer_(writer), budget_(lines_per_second),
          success_budget_(lines_per_second / success_divisor)
    {
    }

    void note(decision_note const& note, absl::Time now);
    /// An event that is no decision on a request; `fields` is key=value text.
    void event(
        std::string_view level,
        std::string_view name,
        std::string const& fields,
        absl::Time now);

private:
    /// Failures are kept before successes.
    static constexpr double success_divisor = 8;

    log_writer& writer_;
    event_budget budget_;
    event_budget success_budget_;
};

} // namespace samphire
