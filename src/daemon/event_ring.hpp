#pragma once

#include "base/bounded_ring.hpp"
#include "core/event.hpp"

namespace samphire
{

/// Joins the duty threads to the thread that decides.
using event_ring = bounded_ring<event>;

} // namespace samphire
