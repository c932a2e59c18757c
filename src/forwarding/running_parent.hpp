#pragma once

#include "forwarding/messages/execution_key.hpp"

#include <cstdint>

namespace samphire
{

/// An execution on the local upstream for which the upstream makes a call.
struct running_parent
{
    execution_key key_{};
    /// Priority of the client's request at the root of the call graph.
    std::int32_t priority_{};
    /// Urgency class of the client's request at the root of the call graph; 0
    /// is the least urgent.
    std::uint32_t urgency_{};
    /// Number of arrived requests that the execution represents; see
    /// execute_order::weight_.
    double weight_{1};
    /// Whether the execution is itself a retry; see execute_order::is_retry_.
    bool is_retry_{};

    friend bool
    operator==(running_parent const&, running_parent const&) = default;
};

} // namespace samphire
