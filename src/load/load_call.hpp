#pragma once

#include "base/payload.hpp"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace samphire
{

/// One caller's request in progress.
struct load_call
{
    /// Index into the mix of the plan.
    std::size_t const route_{};
    /// The latency is measured from this time, even when the tool sends late.
    absl::Time const planned_arrival_{};
    payload const body_{};
    /// Attempts sent so far.
    std::uint32_t attempts_{};
    /// Ticket from an earlier answer; empty for none.
    std::string ticket_{};
};

} // namespace samphire
