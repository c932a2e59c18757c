#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Tracks the request for a policy document that is pending at one peer.
class policy_fetch
{
public:
    /// Time after which a fetch without an answer is cancelled. Inside a
    /// failure domain, the transfer of a policy document of 1 MB takes a
    /// fraction of this time.
    static constexpr absl::Duration answer_timeout = absl::Seconds(2);
    /// Time before the next fetch after a peer sent a policy document that was
    /// refused.
    static constexpr absl::Duration retry_delay = absl::Seconds(5);

    bool may_start(absl::Time now) const
    {
        return !peer_ && now >= earliest_start_at_;
    }

    void start(endpoint peer, absl::Time now)
    {
        peer_ = peer;
        deadline_ = now + answer_timeout;
    }

    void finish(endpoint peer)
    {
        if (peer_ == peer)
            cancel();
    }

    void on_document_refused(absl::Time now)
    {
        cancel();
        earliest_start_at_ = now + retry_delay;
    }

    /// Cancels the fetch if it has timed out and returns the peer that did not
    /// answer; none otherwise.
    std::optional<endpoint> cancel_if_timed_out(absl::Time now)
    {
        if (!peer_ || now < deadline_)
            return std::nullopt;
        endpoint const unresponsive_peer = *peer_;
        cancel();
        return unresponsive_peer;
    }

    std::optional<endpoint> peer() const
    {
        return peer_;
    }

    absl::Time next_deadline() const
    {
        return deadline_;
    }

private:
    void cancel()
    {
        peer_.reset();
        deadline_ = absl::InfiniteFuture();
    }

    std::optional<endpoint> peer_;
    absl::Time deadline_{absl::InfiniteFuture()};
    absl::Time earliest_start_at_{absl::InfinitePast()};
};

} // namespace samphire
