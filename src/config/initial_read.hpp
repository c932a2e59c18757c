#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Whether a daemon that starts, or wakes from a pause, has learned the highest
/// revision that its peers and the platform know.
class initial_read
{
public:
    /// Times the limit after which the daemon serves although a peer reported
    /// a higher revision that could not be fetched.
    static constexpr int longest_factor = 3;
    /// Between questions to other peers while none has answered.
    static constexpr absl::Duration ask_interval = absl::Milliseconds(250);

    void start(absl::Duration limit, absl::Time now)
    {
        done_ = false;
        platform_ = false;
        peer_ = false;
        limit_ = now + limit;
        longest_ = now + longest_factor * limit;
        next_ask_ = now;
    }

    void platform_answered()
    {
        platform_ = true;
    }

    void peer_answered()
    {
        peer_ = true;
    }

    /// True when another peer shall be asked.
    bool take_ask(absl::Time now)
    {
        if (done_ || peer_ || now < next_ask_)
            return false;
        next_ask_ = now + ask_interval;
        return true;
    }

    /// True once, when the read has ended. `newer_known` says that a higher
    /// revision than the one in force was reported and is being fetched.
    bool take_end(bool has_peers, bool newer_known, absl::Time now)
    {
        if (done_)
            return false;
        bool const complete = platform_ && (peer_ || !has_peers);
        bool const ends =
            newer_known ? now >= longest_ : complete || now >= limit_;
        done_ = ends;
        return ends;
    }

    bool done() const
    {
        return done_;
    }

    absl::Time next_deadline(absl::Time now) const
    {
        if (done_)
            return absl::InfiniteFuture();
        absl::Time const end = now < limit_ ? limit_ : longest_;
        return peer_ ? end : std::min(end, next_ask_);
    }

private:
    bool done_{true};
    bool platform_{};
    bool peer_{};
    absl::Time limit_{absl::InfinitePast()};
    absl::Time longest_{absl::InfinitePast()};
    absl::Time next_ask_{absl::InfinitePast()};
};

} // namespace samphire
