#pragma once

#include "base/execution_id.hpp"

namespace samphire
{

/// Cancels an execution at the local upstream by closing the connection of the
/// execution. An upstream_failed event follows unless the answer has already
/// arrived.
struct cancel_at_upstream
{
    execution_id const execution_{};

    friend bool
    operator==(cancel_at_upstream const&, cancel_at_upstream const&) = default;
};

} // namespace samphire
