#pragma once

#include "daemon/caller_gateway.hpp"
#include "daemon/daemon_state.hpp"
#include "daemon/datagram_transport.hpp"
#include "daemon/peer_transport.hpp"
#include "daemon/platform_result_events.hpp"
#include "daemon/telemetry.hpp"
#include "daemon/upstream_gateway.hpp"
#include "object_api/platform_gateway.hpp"

namespace samphire
{

/// The duties that carry out the actions of daemon_core.
struct output_duties
{
    caller_gateway& callers_;
    upstream_gateway& upstream_;
    peer_transport& peers_;
    datagram_transport& datagrams_;
    platform_gateway<platform_result_events>& platform_;
    telemetry& telemetry_;
    daemon_state& state_;
};

} // namespace samphire
