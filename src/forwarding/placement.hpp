#pragma once

#include "forwarding/peer_state.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// Where a request is sent.
struct placement
{
    peer_state* peer_{};
    /// Expected time in the queue of its guard.
    absl::Duration wait_{};
    /// Expected time until the answer, queue included.
    absl::Duration total_{};
};

} // namespace samphire
