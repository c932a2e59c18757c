#pragma once

#include "forwarding/messages/cancel_order.hpp"
#include "forwarding/messages/crash_notice.hpp"
#include "forwarding/messages/daemon_beacon.hpp"
#include "forwarding/messages/daemon_hello.hpp"
#include "forwarding/messages/execute_order.hpp"
#include "forwarding/messages/execute_result.hpp"
#include "forwarding/messages/execution_query.hpp"
#include "forwarding/messages/policy_notice.hpp"
#include "forwarding/messages/policy_request.hpp"
#include "forwarding/messages/store_access_notice.hpp"
#include "forwarding/messages/upstream_notice.hpp"

#include <variant>

namespace samphire
{

/// Any message that one daemon sends to another.
using relay_message = std::variant<
    daemon_hello,
    daemon_beacon,
    execute_order,
    execute_result,
    cancel_order,
    execution_query,
    policy_notice,
    upstream_notice,
    crash_notice,
    policy_request,
    store_access_notice>;

} // namespace samphire
