#pragma once

#include "base/incarnation.hpp"
#include "messages/call_outcome.hpp"
#include "routing/latency_tracker.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <set>

namespace samphire
{

/// Load and latency of one peer of a service, as observed by this daemon.
class peer_load
{
public:
    peer_load(incarnation peer_incarnation, bool local, absl::Time cold_since);

    void sent(absl::Time now);
    void finished(call_outcome outcome, absl::Duration latency, absl::Time now);

    incarnation peer_incarnation() const
    {
        return incarnation_;
    }

    /// True when the peer is in the local failure domain.
    bool local() const
    {
        return local_;
    }

    std::size_t in_flight() const
    {
        return sent_at_.size();
    }

    latency_tracker const& latency() const
    {
        return latency_;
    }

    /// Expected latency: the median, or the age of the oldest call in flight if
    /// that is longer.
    absl::Duration expected_latency(absl::Time now) const;

    /// True after several consecutive calls got no answer.
    bool unresponsive() const;

    /// True when no call is in flight and the last one was sent at least one
    /// probe interval ago.
    bool probe_due(absl::Time now) const;

    /// Moving average of the ratio of calls that the peer refused, 0 to 1.
    double refusal_ratio() const
    {
        return refusal_ratio_;
    }

    /// Ratio of its full weight that the peer gets; rises from 0.1 to 1 after a
    /// cold start of its upstream.
    double warm_up_factor(absl::Time now) const;

private:
    incarnation const incarnation_;
    bool const local_;
    absl::Time const cold_since_;
    std::multiset<absl::Time> sent_at_;
    unsigned unanswered_in_row_{};
    absl::Time last_sent_{absl::InfinitePast()};
    latency_tracker latency_;
    double refusal_ratio_{};
};

} // namespace samphire
