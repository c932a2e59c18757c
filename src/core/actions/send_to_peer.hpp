#pragma once

#include "base/endpoint.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// Sends a message to a peer over TCP, in order with earlier TCP messages to
/// the same peer.
struct send_to_peer
{
    endpoint const peer_{};
    peer_message const message_{};

    friend bool operator==(send_to_peer const&, send_to_peer const&) = default;
};

} // namespace samphire
