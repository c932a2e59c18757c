#pragma once

#include "base/random_source.hpp"
#include "messages/call_outcome.hpp"
#include "routing/latency_tracker.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Share of the calls of a service that leave the local failure domain. It
/// grows while local peers refuse calls or are slower than usual, and shrinks
/// while they have room or other domains are hardly better.
class domain_spill
{
public:
    void observe(bool local, call_outcome outcome, absl::Duration latency);

    /// True when the next call should go to another domain.
    bool leaves(random_source& random) const;

    double share() const
    {
        return share_;
    }

private:
    double share_{};
    latency_tracker local_;
    latency_tracker remote_;
    /// Long-term average of the local median.
    absl::Duration usual_{};
};

} // namespace samphire
