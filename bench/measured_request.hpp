#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire::bench
{

/// Route, times, service time and outcome of one request of a caller, including
/// its resends.
class measured_request
{
public:
    measured_request(std::size_t route, std::size_t entry, absl::Duration sent)
        : route_(route), entry_(entry), sent_at_(sent)
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

    /// Returns the time from the start of the load to the first attempt of the
    /// caller to send the request.
    absl::Duration sent_at() const
    {
        return sent_at_;
    }

    bool completed() const
    {
        return completed_;
    }

    /// Returns the time from the caller's first attempt to the answer that
    /// completed the request.
    absl::Duration latency() const
    {
        return ended_at_ - sent_at_;
    }

    absl::Duration ended_at() const
    {
        return ended_at_;
    }

    /// Returns the sum of the service times that upstreams spent on the
    /// request.
    absl::Duration service_time() const
    {
        return service_time_;
    }

    unsigned resends() const
    {
        return resends_;
    }

    void complete(absl::Duration at)
    {
        completed_ = true;
        ended_at_ = at;
    }

    void add_resend()
    {
        ++resends_;
    }

    void add_service_time(absl::Duration time)
    {
        service_time_ += time;
    }

private:
    std::size_t route_;
    std::size_t entry_;
    absl::Duration sent_at_;
    absl::Duration ended_at_{absl::InfiniteDuration()};
    bool completed_{};
    absl::Duration service_time_{};
    unsigned resends_{};
};

} // namespace samphire::bench
