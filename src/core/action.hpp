#pragma once

#include "core/actions/answer_caller.hpp"
#include "core/actions/call_platform.hpp"
#include "core/actions/cancel_at_upstream.hpp"
#include "core/actions/emit_log.hpp"
#include "core/actions/emit_span.hpp"
#include "core/actions/readiness_changed.hpp"
#include "core/actions/send_datagram.hpp"
#include "core/actions/send_to_peer.hpp"
#include "core/actions/shutdown_finished.hpp"
#include "core/actions/start_at_upstream.hpp"

#include <variant>
#include <vector>

namespace samphire
{

/// One output of daemon_core, which the process of the daemon carries out.
using action = std::variant<
    answer_caller,
    send_to_peer,
    send_datagram,
    start_at_upstream,
    cancel_at_upstream,
    call_platform,
    emit_log,
    emit_span,
    readiness_changed,
    shutdown_finished>;

using action_list = std::vector<action>;

} // namespace samphire
