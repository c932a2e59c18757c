#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Entry to guard: the entry no longer waits for the result of this request.
struct cancel_order
{
    execution_key key_{};

    friend bool operator==(cancel_order const&, cancel_order const&) = default;
};

} // namespace samphire
