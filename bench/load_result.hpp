#pragma once

#include "latency_summary.hpp"
#include "measured_request.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

namespace samphire::bench
{

/// Computes goodput, latencies and ratios from the requests of a run. `from`
/// and `to` select the requests sent between these times; goodput() selects
/// requests by the time of their answer.
class load_result
{
public:
    load_result(
        std::vector<measured_request> requests, std::uint64_t peer_attempts)
        : requests_(std::move(requests)), peer_attempts_(peer_attempts)
    {
    }

    std::vector<measured_request> const& requests() const
    {
        return requests_;
    }

    /// Number of execute_request messages that daemons sent to other daemons.
    std::uint64_t peer_attempts() const
    {
        return peer_attempts_;
    }

    /// Returns the number of requests per second that were completed between
    /// `from` and `to`.
    double goodput(absl::Duration from, absl::Duration to) const
    {
        std::size_t completed_requests = 0;
        for (measured_request const& request : requests_)
        {
            if (request.completed() && request.ended_at() >= from &&
                request.ended_at() < to)
                ++completed_requests;
        }
        return static_cast<double>(completed_requests) /
               absl::ToDoubleSeconds(to - from);
    }

    /// Returns the ratio of completed requests among the requests of `route`,
    /// or among all requests if no route is given.
    double completed_ratio(
        absl::Duration from,
        absl::Duration to,
        std::optional<std::size_t> route = std::nullopt) const
    {
        std::size_t sent_requests = 0;
        std::size_t completed_requests = 0;
        for (measured_request const& request : requests_)
        {
            bool const is_selected = (!route || request.route() == *route) &&
                                     request.sent_at() >= from &&
                                     request.sent_at() < to;
            if (!is_selected)
                continue;
            ++sent_requests;
            completed_requests += request.completed() ? 1 : 0;
        }
        return sent_requests == 0 ? 0
                                  : static_cast<double>(completed_requests) /
                                        static_cast<double>(sent_requests);
    }

    /// Returns the ratio of the total service time that upstreams spent on
    /// requests that were not completed.
    double
    wasted_service_time_ratio(absl::Duration from, absl::Duration to) const
    {
        absl::Duration total_service_time;
        absl::Duration wasted_service_time;
        for (measured_request const& request : requests_)
        {
            if (request.sent_at() < from || request.sent_at() >= to)
                continue;
            total_service_time += request.service_time();
            if (!request.completed())
                wasted_service_time += request.service_time();
        }
        return total_service_time == absl::ZeroDuration()
                   ? 0
                   : absl::FDivDuration(
                         wasted_service_time, total_service_time);
    }

    /// Summarises the latencies of the requests of a route. A request that was
    /// not completed has the latency `incomplete_latency`; otherwise refusing
    /// slow work would lower the latencies.
    latency_summary latencies(
        absl::Duration from,
        absl::Duration to,
        std::size_t route,
        absl::Duration incomplete_latency) const
    {
        std::vector<absl::Duration> selected;
        for (measured_request const& request : requests_)
        {
            bool const is_selected = request.route() == route &&
                                     request.sent_at() >= from &&
                                     request.sent_at() < to;
            if (is_selected)
                selected.push_back(
                    request.completed() ? request.latency()
                                        : incomplete_latency);
        }
        return latency_summary::of(std::move(selected));
    }

    /// Returns the time from `from` to the end of the last 200 ms window in
    /// which the ratio of completed requests was below `min_completed_ratio`;
    /// zero if there is no such window. Only windows up to `to` are searched,
    /// so the result is `to - from` for a run that does not recover.
    absl::Duration recovery_time(
        absl::Duration from,
        absl::Duration to,
        double min_completed_ratio) const
    {
        constexpr absl::Duration window_duration = absl::Milliseconds(200);
        absl::Duration recovery_duration = absl::ZeroDuration();
        for (absl::Duration start = from; start + window_duration <= to;
             start += window_duration)
        {
            if (completed_ratio(start, start + window_duration) <
                min_completed_ratio)
                recovery_duration = start + window_duration - from;
        }
        return recovery_duration;
    }

private:
    std::vector<measured_request> requests_;
    std::uint64_t peer_attempts_;
};

} // namespace samphire::bench
