#pragma once

#include "base/execution_id.hpp"
#include "base/payload.hpp"

#include <cstdint>

namespace samphire
{

/// The local upstream sent a complete answer.
struct upstream_answered
{
    execution_id const execution_{};
    /// HTTP status.
    std::uint16_t const status_{};
    payload const body_{};

    friend bool
    operator==(upstream_answered const&, upstream_answered const&) = default;
};

} // namespace samphire
