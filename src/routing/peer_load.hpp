#pragma once

#include "base/incarnation.hpp"
#include "messages/call_outcome.hpp"
#include "routing/latency_tracker.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <set>

namespace samphire
{

/// What this daemon has seen of one peer that serves a service.
class peer_load
{
public:
    peer_load(incarnation life, bool local, absl::Time cold_at);

    void sent(absl::Time now);
    void finished(call_outcome outcome, absl::Duration latency, absl::Time now);

    incarnation life() const
    {
        return life_;
    }

    /// True in the own failure domain.
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

    /// Latency to expect: the median, or the age of the oldest call when that
    /// is already longer.
    absl::Duration expected_latency(absl::Time now) const;

    /// True after several calls in a row got no answer.
    bool unresponsive() const;

    /// True when no call is in flight and the last was sent some time ago.
    bool probe_due(absl::Time now) const;

    /// Recent share of calls that the peer refused, 0 to 1.
    double refused() const
    {
        return refused_;
    }

    /// Share of its full weight, from the start of a cold upstream, 0.1 to 1.
    double warmth(absl::Time now) const;

private:
    incarnation const life_;
    bool const local_;
    absl::Time const cold_at_;
    std::multiset<absl::Time> sent_at_;
    unsigned lost_in_row_{};
    absl::Time last_sent_{absl::InfinitePast()};
    latency_tracker latency_;
    double refused_{};
};

} // namespace samphire
