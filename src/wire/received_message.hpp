#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// A message whose MAC has been verified, and its sender.
struct received_message
{
    peer_identity const from_{};
    peer_message const message_{};

    friend bool
    operator==(received_message const&, received_message const&) = default;
};

} // namespace samphire
