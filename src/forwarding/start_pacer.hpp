#pragma once

#include "forwarding/rate_limit.hpp"

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Spaces the starts of requests at an upstream so that they keep to the rate
/// limit that the upstream has named.
class start_pacer
{
public:
    void set_limit(rate_limit limit, absl::Time now);

    rate_limit limit() const
    {
        return limit_;
    }

    bool may_start(absl::Time now) const
    {
        return next_start() <= now;
    }

    void on_start(absl::Time now);

    /// Returns the time from which the next request may start; infinite past
    /// without a limit.
    absl::Time next_start() const;

    /// Returns the time until a request may start that waits behind
    /// `requests_ahead` others.
    absl::Duration wait(std::size_t requests_ahead, absl::Time now) const;

private:
    /// Starts may be ahead of an even spacing by this time, so that a short
    /// burst does not wait.
    static constexpr absl::Duration max_advance = absl::Milliseconds(250);

    absl::Duration interval() const;

    rate_limit limit_;
    /// Time of the next start at an even spacing.
    absl::Time evenly_spaced_start_{absl::InfinitePast()};
};

} // namespace samphire
