#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Bounds of the traffic duty.
struct traffic_limits
{
    /// Bodies of all requests in progress.
    std::size_t held_bytes_{64u << 20};
    std::size_t connections_{3000};
    /// Daemons that are known.
    std::size_t daemons_{8192};
    /// Repeats that all daemons may send to a service for each request to it.
    double repeat_ratio_{0.1};
    /// Repeats beyond that in any span of time, of all daemons.
    double repeat_slack_{10};
    /// The span of time.
    absl::Duration repeat_window_{absl::Seconds(10)};
    /// Time between the stop signal and the end of the process.
    absl::Duration stop_grace_{absl::Seconds(6)};
    /// Log lines a second for each event.
    std::uint32_t log_lines_{20};

    friend bool
    operator==(traffic_limits const&, traffic_limits const&) = default;
};

} // namespace samphire
