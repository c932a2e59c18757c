#pragma once

#include "base/daemon_id.hpp"
#include "base/domain_name.hpp"
#include "base/endpoint.hpp"
#include "base/incarnation.hpp"
#include "base/service_name.hpp"
#include "base/ticket_epoch.hpp"
#include "membership/member_status.hpp"

#include <cstdint>

namespace samphire
{

/// State of one daemon and its upstream, as shared between daemons.
struct member_record
{
    daemon_id const daemon_{};
    domain_name const domain_{};
    endpoint const endpoint_{};
    incarnation const incarnation_{};
    /// Incremented by the daemon itself with each change of its record.
    std::uint64_t const sequence_{};
    member_status const status_{};
    /// Empty while the daemon has no announced upstream.
    service_name const service_{};
    std::uint32_t const slots_{};
    ticket_epoch const epoch_{};
    /// Peer that holds the execution records after a graceful shutdown; empty
    /// when there is none.
    endpoint const successor_{};

    friend bool
    operator==(member_record const&, member_record const&) = default;
};

} // namespace samphire
