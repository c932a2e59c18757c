#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Sent by an entry to a guard: tells the guard that the entry no longer waits
/// for the result of the execution `key_`.
struct cancel_order
{
    execution_key key_{};

    friend bool operator==(cancel_order const&, cancel_order const&) = default;
};

} // namespace samphire
