#pragma once

#include "forwarding/messages/execution_key.hpp"

#include <cstdint>

namespace samphire
{

/// An execution at the own upstream that makes a call.
struct running_parent
{
    execution_key key_{};
    /// Priority of the client's request at the root.
    std::int32_t priority_{};
    /// Urgency class of the same; 0 is the least urgent.
    std::uint32_t urgency_{};
    /// See execute_order.
    double weight_{1};
    /// It runs for the second time.
    bool repeated_{};

    friend bool
    operator==(running_parent const&, running_parent const&) = default;
};

} // namespace samphire
