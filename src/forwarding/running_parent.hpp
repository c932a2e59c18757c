#pragma once

#include "forwarding/messages/execution_key.hpp"

#include <cstdint>

namespace samphire
{

/// An execution at the local upstream that makes a call.
struct running_parent
{
    execution_key key_{};
    /// Priority of the client's request at the root.
    std::int32_t priority_{};
    /// Urgency class of the client's request at the root; 0 is the least
    /// urgent.
    std::uint32_t urgency_{};
    /// See execute_order::weight_.
    double weight_{1};
    /// The execution is itself a retry; see execute_order::is_retry_.
    bool is_retry_{};

    friend bool
    operator==(running_parent const&, running_parent const&) = default;
};

} // namespace samphire
