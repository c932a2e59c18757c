#pragma once

#include "base/daemon_id.hpp"
#include "base/domain_name.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"

namespace samphire
{

/// What a daemon knows of itself from its settings and its start.
struct daemon_identity
{
    daemon_id const daemon_{};
    domain_name const domain_{};
    /// Address of its TCP and UDP port for other daemons.
    endpoint const endpoint_{};
    incarnation const incarnation_{};

    friend bool
    operator==(daemon_identity const&, daemon_identity const&) = default;
};

} // namespace samphire
