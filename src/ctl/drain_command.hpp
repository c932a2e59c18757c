#pragma once

#include "base/endpoint.hpp"
#include "ctl/command_result.hpp"
#include "operations/blocking_http_client.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Asks a daemon to drain, so that its upstream gets no new requests.
command_result drain_daemon(
    endpoint daemon, blocking_http_client& calls, absl::Duration timeout);

} // namespace samphire
