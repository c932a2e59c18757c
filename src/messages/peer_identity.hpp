#pragma once

#include "base/daemon_id.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"

namespace samphire
{

/// Identity of the daemon that sent a message. The MAC of the message
/// authenticates this identity.
struct peer_identity
{
    daemon_id const daemon_{};
    incarnation const incarnation_{};
    endpoint const endpoint_{};

    friend bool
    operator==(peer_identity const&, peer_identity const&) = default;
};

} // namespace samphire
