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

/// Requests of a run and what became of them. A stretch of time selects
/// requests by when they were sent.
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

    /// execute_requests that left a daemon.
    std::uint64_t peer_attempts() const
    {
        return peer_attempts_;
    }

    /// Complete answers per second, by the time of the answer.
    double goodput(absl::Duration from, absl::Duration to) const
    {
        std::size_t completed = 0;
        for (measured_request const& request : requests_)
        {
            if (request.completed() && request.ended() >= from &&
                request.ended() < to)
                ++completed;
        }
        return static_cast<double>(completed) /
               absl::ToDoubleSeconds(to - from);
    }

    /// Completed part of the requests of a route, or of all.
    double completed_share(
        absl::Duration from,
        absl::Duration to,
        std::optional<std::size_t> route = std::nullopt) const
    {
        std::size_t sent = 0;
        std::size_t completed = 0;
        for (measured_request const& request : requests_)
        {
            bool const counted = (!route || request.route() == *route) &&
                                 request.sent() >= from && request.sent() < to;
            if (!counted)
                continue;
            ++sent;
            completed += request.completed() ? 1 : 0;
        }
        return sent == 0
                   ? 0
                   : static_cast<double>(completed) / static_cast<double>(sent);
    }

    /// Part of the service time that went to requests without a complete
    /// answer.
    double wasted_share(absl::Duration from, absl::Duration to) const
    {
        absl::Duration total;
        absl::Duration wasted;
        for (measured_request const& request : requests_)
        {
            if (request.sent() < from || request.sent() >= to)
                continue;
            total += request.spent();
            if (!request.completed())
                wasted += request.spent();
        }
        return total == absl::ZeroDuration()
                   ? 0
                   : absl::FDivDuration(wasted, total);
    }

    /// A request without a complete answer counts with `incomplete`, so that
    /// refusing slow work does not look fast.
    latency_summary latencies(
        absl::Duration from,
        absl::Duration to,
        std::size_t route,
        absl::Duration incomplete) const
    {
        std::vector<absl::Duration> found;
        for (measured_request const& request : requests_)
        {
            bool const counted = request.route() == route &&
                                 request.sent() >= from && request.sent() < to;
            if (counted)
                found.push_back(
                    request.completed() ? request.latency() : incomplete);
        }
        return latency_summary::of(std::move(found));
    }

    /// Time after `from` at which the last window ends in which less than
    /// `share` of the requests sent completed; zero when there is none. `to`
    /// bounds the search, and is the answer for a run that stays down.
    absl::Duration
    recovery_time(absl::Duration from, absl::Duration to, double share) const
    {
        constexpr absl::Duration window = absl::Milliseconds(200);
        absl::Duration last = absl::ZeroDuration();
        for (absl::Duration start = from; start + window <= to; start += window)
        {
            if (completed_share(start, start + window) < share)
                last = start + window - from;
        }
        return last;
    }

private:
    std::vector<measured_request> requests_;
    std::uint64_t peer_attempts_;
};

} // namespace samphire::bench
