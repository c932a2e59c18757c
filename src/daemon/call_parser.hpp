#pragma once

#include "base/call_id.hpp"
#include "core/events/call_received.hpp"
#include "daemon/request_error.hpp"
#include "http/http_request.hpp"

#include <boost/outcome/result.hpp>

namespace samphire
{

using call_parse_result =
    boost::outcome_v2::unchecked<call_received, request_error>;

/// Reads POST /call/<service>/<route> and its headers: traceparent,
/// Idempotency-Key, Samphire-Ticket, Samphire-Timeout-Ms and, in calls of the
/// local upstream, Samphire-Execution.
call_parse_result parse_call(call_id call, http_request const& request);

} // namespace samphire
