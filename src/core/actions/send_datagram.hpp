#pragma once

#include "base/endpoint.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// Sends a message to a peer over UDP; the message may be lost, duplicated or
/// reordered.
struct send_datagram
{
    endpoint const peer_{};
    peer_message const message_{};

    friend bool
    operator==(send_datagram const&, send_datagram const&) = default;
};

} // namespace samphire
