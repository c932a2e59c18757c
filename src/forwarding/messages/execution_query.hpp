#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Entry to guard after a lost connection: asks for the outcome of this
/// request. A request that has not started is closed by the query and never
/// starts.
struct execution_query
{
    execution_key key_{};

    friend bool
    operator==(execution_query const&, execution_query const&) = default;
};

} // namespace samphire
