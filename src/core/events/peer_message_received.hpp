#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// A verified message of another daemon, over TCP or UDP.
struct peer_message_received
{
    peer_identity const from_{};
    peer_message const message_{};

    friend bool operator==(
        peer_message_received const&, peer_message_received const&) = default;
};

} // namespace samphire
