#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// The request for a policy document that is under way to one peer.
class policy_fetch
{
public:
    /// A document of 1 MB takes a fraction of this inside a domain.
    static constexpr absl::Duration answer_wait = absl::Seconds(2);
    /// Wait after a peer sent a document that was refused.
    static constexpr absl::Duration refused_wait = absl::Seconds(5);

    bool may_start(absl::Time now) const
    {
        return !peer_ && now >= not_before_;
    }

    void start(endpoint peer, absl::Time now)
    {
        peer_ = peer;
        deadline_ = now + answer_wait;
    }

    void finish(endpoint peer)
    {
        if (peer_ == peer)
            cancel();
    }

    void refused(absl::Time now)
    {
        cancel();
        not_before_ = now + refused_wait;
    }

    /// The peer that did not answer in time, once.
    std::optional<endpoint> take_expired(absl::Time now)
    {
        if (!peer_ || now < deadline_)
            return std::nullopt;
        endpoint const silent = *peer_;
        cancel();
        return silent;
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
    absl::Time not_before_{absl::InfinitePast()};
};

} // namespace samphire
