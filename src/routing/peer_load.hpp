#pragma once

#include "base/incarnation.hpp"
#include "messages/call_outcome.hpp"
#include "routing/latency_tracker.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <set>

namespace samphire
{

/// Tracks the calls in flight, latencies and refusals of one peer of a service,
/// as observed by this daemon.
class peer_load
{
public:
    peer_load(incarnation peer_incarnation, bool local, absl::Time cold_since);

    void on_call_sent(absl::Time now);
    void on_call_finished(
        call_outcome outcome, absl::Duration latency, absl::Time now);

    incarnation peer_incarnation() const
    {
        return incarnation_;
    }

    /// Returns true when the peer is in the local failure domain.
    bool is_local() const
    {
        return is_local_;
    }

    std::size_t in_flight() const
    {
        return send_times_of_calls_in_flight_.size();
    }

    latency_tracker const& latency() const
    {
        return latency_;
    }

    /// Returns the expected latency: the median, or the age of the oldest call
    /// in flight if that is longer.
    absl::Duration expected_latency(absl::Time now) const;

    /// Returns true after several consecutive calls got no answer.
    bool is_unresponsive() const;

    /// Returns true when no call to the peer is in flight and the last call was
    /// sent at least one probe interval ago.
    bool is_probe_due(absl::Time now) const;

    /// Returns the moving average of the ratio of calls that the peer refused,
    /// from 0 to 1.
    double refusal_ratio() const
    {
        return refusal_ratio_;
    }

    /// Returns the ratio of its full weight that the peer gets, which rises
    /// from 0.1 to 1 after a cold start of its upstream.
    double warm_up_factor(absl::Time now) const;

private:
    incarnation const incarnation_;
    bool const is_local_;
    absl::Time const cold_since_;
    /// Times at which the calls in flight were sent.
    std::multiset<absl::Time> send_times_of_calls_in_flight_;
    unsigned consecutive_unanswered_calls_{};
    absl::Time last_sent_at_{absl::InfinitePast()};
    latency_tracker latency_;
    double refusal_ratio_{};
};

} // namespace samphire
