#pragma once

#include "base/execution_id.hpp"
#include "core/events/upstream_failure.hpp"

namespace samphire
{

/// The local upstream sent no complete answer.
struct upstream_failed
{
    execution_id const execution_{};
    upstream_failure const failure_{};

    friend bool
    operator==(upstream_failed const&, upstream_failed const&) = default;
};

} // namespace samphire
