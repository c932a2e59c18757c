#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>

namespace samphire
{

/// Limits on the requests, retries and log lines that the traffic duty handles.
struct traffic_limits
{
    /// Maximum total size of the bodies of all requests that are being read or
    /// in progress.
    std::size_t max_total_body_bytes_{64u << 20};
    /// Maximum total memory of all answers that are being received from the
    /// upstream.
    std::size_t max_total_answer_bytes_{64u << 20};
    std::size_t max_client_connections_{3000};
    std::size_t max_known_daemons_{8192};
    /// Maximum number of retries that all daemons together may send to a
    /// service, per request to that service.
    double retry_ratio_{0.1};
    /// Maximum number of retries that all daemons together may send to a
    /// service in any span of retry_window_ in addition to those that
    /// retry_ratio_ allows.
    double retry_burst_{10};
    absl::Duration retry_window_{absl::Seconds(10)};
    /// Time between the stop signal and the end of the process.
    absl::Duration stop_grace_{absl::Seconds(6)};
    /// Maximum log lines per second of each event separately.
    std::uint32_t max_log_lines_per_second_{20};

    friend bool
    operator==(traffic_limits const&, traffic_limits const&) = default;
};

} // namespace samphire
