#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::bench
{

/// One request of a caller with all its resends.
class measured_request
{
public:
    measured_request(std::size_t route, std::size_t entry, absl::Duration sent)
        : route_(route), entry_(entry), sent_(sent)
    {
    }

    std::size_t route() const
    {
        return route_;
    }

    std::size_t entry() const
    {
        return entry_;
    }

    /// Since the start of the load.
    absl::Duration sent() const
    {
        return sent_;
    }

    bool completed() const
    {
        return completed_;
    }

    /// Until the complete answer.
    absl::Duration latency() const
    {
        return ended_ - sent_;
    }

    absl::Duration ended() const
    {
        return ended_;
    }

    /// Service time that upstreams spent on it.
    absl::Duration spent() const
    {
        return spent_;
    }

    unsigned resends() const
    {
        return resends_;
    }

    void complete(absl::Duration at)
    {
        completed_ = true;
        ended_ = at;
    }

    void add_resend()
    {
        ++resends_;
    }

    void spend(absl::Duration time)
    {
        spent_ += time;
    }

private:
    std::size_t route_;
    std::size_t entry_;
    absl::Duration sent_;
    absl::Duration ended_{absl::InfiniteDuration()};
    bool completed_{};
    absl::Duration spent_{};
    unsigned resends_{};
};

} // namespace samphire::bench
