#pragma once

#include "base/daemon_id.hpp"
#include "base/domain_name.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"

namespace samphire
{

/// Identity of a daemon, fixed when its process starts.
struct daemon_identity
{
    daemon_id const daemon_{};
    domain_name const domain_{};
    /// Address on which the daemon receives TCP and UDP messages of other
    /// daemons.
    endpoint const endpoint_{};
    incarnation const incarnation_{};

    friend bool
    operator==(daemon_identity const&, daemon_identity const&) = default;
};

} // namespace samphire
