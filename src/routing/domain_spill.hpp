#pragma once

#include "base/random_source.hpp"
#include "messages/call_outcome.hpp"
#include "routing/latency_tracker.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Controls the ratio of the calls of a service that spill to other failure
/// domains. The ratio grows while local peers refuse calls or are slower than
/// their long-term average, and shrinks while local peers have free slots or
/// other domains are hardly faster.
class domain_spill
{
public:
    void observe(bool local, call_outcome outcome, absl::Duration latency);

    /// Returns true with the probability spill_ratio(), when the next call
    /// should go to another domain.
    bool should_spill(random_source& random) const;

    double spill_ratio() const
    {
        return spill_ratio_;
    }

private:
    double spill_ratio_{};
    latency_tracker local_latency_;
    latency_tracker remote_latency_;
    /// Long-term average of the local median latency.
    absl::Duration long_term_median_latency_{};
};

} // namespace samphire
