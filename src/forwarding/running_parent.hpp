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
    /// It runs for the second time.
    bool repeated_{};

    friend bool
    operator==(running_parent const&, running_parent const&) = default;
};

} // namespace samphire
