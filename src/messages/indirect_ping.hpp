#pragma once

#include "base/endpoint.hpp"

#include <cstdint>

namespace samphire
{

/// Asks the receiver to probe `target_` and to forward its acknowledgement.
struct indirect_ping
{
    std::uint64_t const sequence_{};
    endpoint const target_{};

    friend bool
    operator==(indirect_ping const&, indirect_ping const&) = default;
};

} // namespace samphire
