#pragma once

#include "base/bounded_ring.hpp"
#include "core/event.hpp"

namespace samphire
{

/// Queue of events from the other duty threads to the decisions thread.
using event_ring = bounded_ring<event>;

} // namespace samphire
