#pragma once

#include "base/endpoint.hpp"

#include <cstdint>

namespace samphire
{

/// Asks the receiver to probe the daemon at `target_` and to forward the
/// acknowledgement of that daemon.
struct indirect_ping
{
    std::uint64_t const sequence_{};
    endpoint const target_{};

    friend bool
    operator==(indirect_ping const&, indirect_ping const&) = default;
};

} // namespace samphire
