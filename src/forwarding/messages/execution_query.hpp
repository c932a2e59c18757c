#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Entry to guard after a lost connection: what became of this request? One
/// that has not started is closed for good by the question.
struct execution_query
{
    execution_key key_{};

    friend bool
    operator==(execution_query const&, execution_query const&) = default;
};

} // namespace samphire
