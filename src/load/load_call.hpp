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
    std::size_t const route_{};
    /// Planned arrival; latencies count from it even when the tool is late.
    absl::Time const arrived_{};
    payload const body_{};
    std::uint32_t attempts_{};
    /// Ticket of an earlier answer.
    std::string ticket_{};
};

} // namespace samphire
