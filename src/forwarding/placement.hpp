#pragma once

#include "forwarding/peer_state.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// The guard that a request is sent to, with the expected times.
struct placement
{
    peer_state* peer_{};
    /// Expected time in the guard's queue.
    absl::Duration expected_wait_{};
    /// Expected time until the answer, queue included.
    absl::Duration expected_total_{};
};

} // namespace samphire
