#pragma once

#include "base/daemon_id.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"
#include "base/ticket_epoch.hpp"

#include <cstdint>

namespace samphire
{

/// A guard that can run a request of a service.
struct peer_candidate
{
    daemon_id const daemon_{};
    endpoint const endpoint_{};
    incarnation const incarnation_{};
    ticket_epoch const epoch_{};
    std::uint32_t const slots_{};
    bool const is_in_local_domain_{};

    friend bool
    operator==(peer_candidate const&, peer_candidate const&) = default;
};

} // namespace samphire
