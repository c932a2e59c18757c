#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// A message of another daemon arrived over TCP or UDP, and its MAC was
/// verified.
struct peer_message_received
{
    peer_identity const from_{};
    peer_message const message_{};

    friend bool operator==(
        peer_message_received const&, peer_message_received const&) = default;
};

} // namespace samphire
