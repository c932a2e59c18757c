#pragma once

#include "base/endpoint.hpp"
#include "ctl/command_result.hpp"
#include "operations/http_calls.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Asks a daemon to drain, so that its upstream gets no new requests.
command_result
drain_daemon(endpoint daemon, http_calls& calls, absl::Duration timeout);

} // namespace samphire
