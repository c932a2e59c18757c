#pragma once

#include "base/endpoint.hpp"
#include "relay/byte_stream.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// One connection between two daemons. The daemon that dialled sends requests,
/// and the other answers them.
struct peer_link
{
    byte_stream stream_;
    /// Peer address of the other daemon; empty on an accepted link until the
    /// hello of that daemon arrives.
    endpoint daemon_{};
    std::uint64_t incarnation_{};
    bool dialled_{};
    bool connected_{};
    /// Whether the hello of the other daemon has arrived.
    bool hello_received_{};
    absl::Time opened_at_{};
    absl::Time last_received_at_{};
    absl::Time last_beacon_at_{};
};

} // namespace samphire
