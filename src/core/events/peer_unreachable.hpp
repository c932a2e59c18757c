#pragma once

#include "base/endpoint.hpp"

namespace samphire
{

/// The connection to a peer was refused or lost; messages sent to it may not
/// have arrived.
struct peer_unreachable
{
    endpoint const peer_{};
    /// True when there was no connection to the peer since the first unanswered
    /// message was queued, so that none of the unanswered messages can have
    /// arrived.
    bool const none_delivered_{};

    friend bool
    operator==(peer_unreachable const&, peer_unreachable const&) = default;
};

} // namespace samphire
