#pragma once

#include "base/endpoint.hpp"
#include "relay/byte_stream.hpp"

#include <absl/time/time.h>

#include <cstdint>

namespace samphire
{

/// One connection between two daemons. The side that dialled sends requests,
/// the other answers them.
struct peer_link
{
    byte_stream stream_;
    /// Empty on an accepted link until its first message.
    endpoint daemon_{};
    std::uint64_t incarnation_{};
    bool dialled_{};
    bool connected_{};
    /// The other side has said who it is.
    bool up_{};
    absl::Time opened_{};
    absl::Time last_received_{};
    absl::Time last_beacon_{};
};

} // namespace samphire
