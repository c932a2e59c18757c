#pragma once

#include "base/payload.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire
{

/// State of a call that has no final result yet.
struct load_call
{
    /// Index of the route in load_plan::mix_.
    std::size_t const route_index_{};
    /// Start of the measured latency, even when the first attempt is sent
    /// later.
    absl::Time const planned_arrival_{};
    payload const body_{};
    /// Number of attempts sent so far.
    std::uint32_t sent_attempts_{};
    /// Ticket that the daemon sent with an earlier answer, for the next
    /// attempt; empty for none.
    std::string ticket_{};
};

} // namespace samphire
