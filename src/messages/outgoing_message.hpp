#pragma once

#include "base/endpoint.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// A message and the daemon that it is sent to.
struct outgoing_message
{
    endpoint const to_{};
    peer_message const message_{};

    friend bool
    operator==(outgoing_message const&, outgoing_message const&) = default;
};

} // namespace samphire
