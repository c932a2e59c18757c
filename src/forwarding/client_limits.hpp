#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace samphire
{

/// Limits on the size of client requests, and on how long a client may take to
/// send them or keep an idle connection.
struct client_limits
{
    std::size_t max_header_bytes_{16u << 10};
    std::size_t max_body_bytes_{64u << 20};
    absl::Duration header_timeout_{absl::Seconds(3)};
    absl::Duration idle_timeout_{absl::Seconds(15)};

    friend bool
    operator==(client_limits const&, client_limits const&) = default;
};

} // namespace samphire
