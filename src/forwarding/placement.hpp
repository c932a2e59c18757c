#pragma once

#include "forwarding/peer_state.hpp"

#include <absl/time/time.h>

namespace samphire
{

/// The guard that is chosen for a request, with the expected times at that
/// guard.
struct placement
{
    peer_state* peer_{};
    /// Expected time that the request waits in the guard's queue.
    absl::Duration expected_wait_{};
    /// Expected time until the answer arrives, including the wait in the
    /// guard's queue.
    absl::Duration expected_total_{};
};

} // namespace samphire
