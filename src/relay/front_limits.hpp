#pragma once

#include "forwarding/client_limits.hpp"

#include <cstddef>

namespace samphire
{

/// Bounds of one HTTP front.
struct front_limits
{
    client_limits client_{};
    std::size_t connections_{3000};
    /// Bodies of all requests that are read or in progress.
    std::size_t held_bytes_{64u << 20};

    friend bool operator==(front_limits const&, front_limits const&) = default;
};

} // namespace samphire
