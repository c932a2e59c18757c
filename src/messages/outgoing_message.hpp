#pragma once

#include "base/endpoint.hpp"
#include "messages/peer_message.hpp"

namespace samphire
{

/// Message to a daemon, with the address of that daemon.
struct outgoing_message
{
    endpoint const to_{};
    peer_message const message_{};

    friend bool
    operator==(outgoing_message const&, outgoing_message const&) = default;
};

} // namespace samphire
