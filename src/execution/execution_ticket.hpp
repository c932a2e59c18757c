#pragma once

#include "base/daemon_id.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"
#include "base/request_id.hpp"
#include "base/ticket_epoch.hpp"

namespace samphire
{

/// Binds one unrepeatable request to one incarnation of one guard. Only that
/// incarnation may run the request, so at-most-once execution needs no clock,
/// lease or consensus.
struct execution_ticket
{
    daemon_id const guard_{};
    incarnation const incarnation_{};
    endpoint const endpoint_{};
    ticket_epoch const epoch_{};
    request_id const nonce_{};

    friend bool
    operator==(execution_ticket const&, execution_ticket const&) = default;
};

} // namespace samphire
