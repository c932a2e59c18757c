#pragma once

#include "forwarding/messages/execution_key.hpp"

namespace samphire
{

/// Entry to guard: nobody waits for this request any more.
struct cancel_order
{
    execution_key key_{};

    friend bool operator==(cancel_order const&, cancel_order const&) = default;
};

} // namespace samphire
