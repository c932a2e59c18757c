#pragma once

#include "forwarding/client_limits.hpp"

#include <cstddef>

namespace samphire
{

/// Limits on the connections and request bodies of an HTTP frontend.
struct frontend_limits
{
    client_limits client_{};
    std::size_t max_connections_{3000};
    /// Maximum total size of the bodies of all requests that are being read or
    /// in progress.
    std::size_t max_total_body_bytes_{64u << 20};

    friend bool
    operator==(frontend_limits const&, frontend_limits const&) = default;
};

} // namespace samphire
