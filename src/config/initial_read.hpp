#pragma once

#include <absl/time/time.h>

namespace samphire
{

/// Tracks the read of the policy document that a daemon makes when it starts or
/// resumes after a pause. The read ends when the daemon knows the highest
/// revision that its peers and the platform have, or at a deadline.
class initial_read
{
public:
    /// The read ends at the latest after hard_timeout_factor times the soft
    /// timeout, even if a peer reported a higher revision that could not be
    /// fetched.
    static constexpr int hard_timeout_factor = 3;
    /// Time between queries to peers while no peer has answered.
    static constexpr absl::Duration query_interval = absl::Milliseconds(250);

    void start(absl::Duration soft_timeout, absl::Time now)
    {
        has_ended_ = false;
        platform_answered_ = false;
        peer_answered_ = false;
        soft_deadline_ = now + soft_timeout;
        hard_deadline_ = now + hard_timeout_factor * soft_timeout;
        next_query_at_ = now;
    }

    void on_platform_answered()
    {
        platform_answered_ = true;
    }

    void on_peer_answered()
    {
        peer_answered_ = true;
    }

    /// Returns true when peers should be queried now, and schedules the next
    /// query.
    bool try_begin_peer_query(absl::Time now)
    {
        if (has_ended_ || peer_answered_ || now < next_query_at_)
            return false;
        next_query_at_ = now + query_interval;
        return true;
    }

    /// Ends the read if it is complete or its deadline has passed. Returns true
    /// only for the call that ends the read. `newer_revision_known` is true
    /// when a revision higher than the one in force was reported and is being
    /// fetched.
    bool try_finish(bool has_peers, bool newer_revision_known, absl::Time now)
    {
        if (has_ended_)
            return false;
        bool const complete =
            platform_answered_ && (peer_answered_ || !has_peers);
        bool const ends = newer_revision_known
                              ? now >= hard_deadline_
                              : complete || now >= soft_deadline_;
        has_ended_ = ends;
        return ends;
    }

    bool is_done() const
    {
        return has_ended_;
    }

    absl::Time next_deadline(absl::Time now) const
    {
        if (has_ended_)
            return absl::InfiniteFuture();
        absl::Time const end =
            now < soft_deadline_ ? soft_deadline_ : hard_deadline_;
        return peer_answered_ ? end : std::min(end, next_query_at_);
    }

private:
    bool has_ended_{true};
    bool platform_answered_{};
    bool peer_answered_{};
    absl::Time soft_deadline_{absl::InfinitePast()};
    absl::Time hard_deadline_{absl::InfinitePast()};
    absl::Time next_query_at_{absl::InfinitePast()};
};

} // namespace samphire
