#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Sent by an entry to a guard after their connection was lost: asks for the
/// outcome of the execution `key_`. If the execution has not started, the query
/// prevents it from ever starting.
struct execution_query
{
    execution_key key_{};

    friend bool
    operator==(execution_query const&, execution_query const&) = default;
};

} // namespace samphire
