#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Decides when a stopping daemon ends: once the clients of this VM have had
/// time to see that it is not ready, and no request is in progress; at the
/// latest shortly before it would be killed.
class stop_progress
{
public:
    explicit stop_progress(absl::Duration grace) : grace_(grace)
    {
    }

    void begin(absl::Time now)
    {
        if (began_ == absl::InfiniteFuture())
            began_ = now;
    }

    bool stopping() const
    {
        return began_ != absl::InfiniteFuture();
    }

    /// Whether a new request may still be begun: one that is begun late would
    /// be cut off by the end of the process.
    bool takes_requests(absl::Time now) const
    {
        return !stopping() || now < began_ + grace_ / 2;
    }

    /// `in_progress`: requests that have no answer yet.
    bool finished(std::size_t in_progress, absl::Time now)
    {
        if (!stopping())
            return false;
        if (in_progress > 0)
            quiet_since_ = absl::InfiniteFuture();
        else if (quiet_since_ == absl::InfiniteFuture())
            quiet_since_ = now;
        bool const seen = now >= began_ + linger;
        bool const quiet = quiet_since_ + quiet_time <= now;
        return (seen && quiet) || now >= began_ + grace_ - reserve;
    }

private:
    /// Readiness is asked once a second, and two misses count.
    static constexpr absl::Duration linger = absl::Milliseconds(2300);
    static constexpr absl::Duration quiet_time = absl::Milliseconds(150);
    /// Left for the end of the process itself.
    static constexpr absl::Duration reserve = absl::Milliseconds(700);

    absl::Duration const grace_;
    absl::Time began_{absl::InfiniteFuture()};
    absl::Time quiet_since_{absl::InfiniteFuture()};
};

} // namespace samphire
