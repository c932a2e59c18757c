#pragma once

#include "core/events/call_received.hpp"
#include "core/events/caller_disconnected.hpp"
#include "core/events/drain_requested.hpp"
#include "core/events/peer_message_received.hpp"
#include "core/events/peer_unreachable.hpp"
#include "core/events/platform_replied.hpp"
#include "core/events/shutdown_requested.hpp"
#include "core/events/timer_elapsed.hpp"
#include "core/events/upstream_announced.hpp"
#include "core/events/upstream_answered.hpp"
#include "core/events/upstream_failed.hpp"

#include <variant>

namespace samphire
{

/// One input of daemon_core: a request, message, reply or signal that arrived,
/// or a timer that elapsed.
using event = std::variant<
    call_received,
    caller_disconnected,
    peer_message_received,
    peer_unreachable,
    upstream_announced,
    upstream_answered,
    upstream_failed,
    platform_replied,
    drain_requested,
    shutdown_requested,
    timer_elapsed>;

} // namespace samphire
