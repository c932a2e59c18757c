#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Decides when a stopping daemon ends: once the clients of this VM have had
/// time to notice that it is not ready and no request is in progress, and
/// shortly before the grace period ends at the latest.
class stop_progress
{
public:
    /// `grace`: time from the stop signal until the process is killed.
    explicit stop_progress(absl::Duration grace) : grace_(grace)
    {
    }

    void begin(absl::Time now)
    {
        if (began_at_ == absl::InfiniteFuture())
            began_at_ = now;
    }

    bool stopping() const
    {
        return began_at_ != absl::InfiniteFuture();
    }

    /// Whether a new request may still start. A request that starts late would
    /// be cut off by the end of the process.
    bool accepts_requests(absl::Time now) const
    {
        return !stopping() || now < began_at_ + grace_ / 2;
    }

    /// `in_progress`: number of requests that have no answer yet.
    bool finished(std::size_t in_progress, absl::Time now)
    {
        if (!stopping())
            return false;
        if (in_progress > 0)
            idle_since_ = absl::InfiniteFuture();
        else if (idle_since_ == absl::InfiniteFuture())
            idle_since_ = now;
        bool const not_ready_noticed = now >= began_at_ + min_stop_time;
        bool const idle = idle_since_ + min_idle_time <= now;
        return (not_ready_noticed && idle) ||
               now >= began_at_ + grace_ - exit_reserve;
    }

private:
    /// Clients check readiness once per second and react to the second failure.
    static constexpr absl::Duration min_stop_time = absl::Milliseconds(2300);
    static constexpr absl::Duration min_idle_time = absl::Milliseconds(150);
    /// Time for the exit of the process itself.
    static constexpr absl::Duration exit_reserve = absl::Milliseconds(700);

    absl::Duration const grace_;
    absl::Time began_at_{absl::InfiniteFuture()};
    absl::Time idle_since_{absl::InfiniteFuture()};
};

} // namespace samphire
