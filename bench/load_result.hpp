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

/// Requests of a run with their outcomes. Except for goodput(), `from` and `to`
/// select the requests that were sent in that time.
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

    /// Completed requests per second, by the time of the answer.
    double goodput(absl::Duration from, absl::Duration to) const
    {
        std::size_t completed = 0;
        for (measured_request const& request : requests_)
        {
            if (request.completed() && request.ended_at() >= from &&
                request.ended_at() < to)
                ++completed;
        }
        return static_cast<double>(completed) /
               absl::ToDoubleSeconds(to - from);
    }

    /// Ratio of completed requests among those of a route, or among all.
    double completed_ratio(
        absl::Duration from,
        absl::Duration to,
        std::optional<std::size_t> route = std::nullopt) const
    {
        std::size_t sent = 0;
        std::size_t completed = 0;
        for (measured_request const& request : requests_)
        {
            bool const is_selected = (!route || request.route() == *route) &&
                                     request.sent_at() >= from &&
                                     request.sent_at() < to;
            if (!is_selected)
                continue;
            ++sent;
            completed += request.completed() ? 1 : 0;
        }
        return sent == 0
                   ? 0
                   : static_cast<double>(completed) / static_cast<double>(sent);
    }

    /// Ratio of the service time that was spent on requests that were not
    /// completed.
    double
    wasted_service_time_ratio(absl::Duration from, absl::Duration to) const
    {
        absl::Duration total;
        absl::Duration wasted;
        for (measured_request const& request : requests_)
        {
            if (request.sent_at() < from || request.sent_at() >= to)
                continue;
            total += request.service_time();
            if (!request.completed())
                wasted += request.service_time();
        }
        return total == absl::ZeroDuration()
                   ? 0
                   : absl::FDivDuration(wasted, total);
    }

    /// A request that was not completed counts with `incomplete_latency`;
    /// otherwise refusing slow work would lower the latencies.
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

    /// Time from `from` to the end of the last window in which the ratio of
    /// completed requests was below `min_completed_ratio`; zero if there is no
    /// such window. Only windows up to `to` are searched, so the result is
    /// `to - from` for a run that does not recover.
    absl::Duration recovery_time(
        absl::Duration from,
        absl::Duration to,
        double min_completed_ratio) const
    {
        constexpr absl::Duration window = absl::Milliseconds(200);
        absl::Duration last = absl::ZeroDuration();
        for (absl::Duration start = from; start + window <= to; start += window)
        {
            if (completed_ratio(start, start + window) < min_completed_ratio)
                last = start + window - from;
        }
        return last;
    }

private:
    std::vector<measured_request> requests_;
    std::uint64_t peer_attempts_;
};

} // namespace samphire::bench
