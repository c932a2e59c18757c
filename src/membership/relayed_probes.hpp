#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphire
{

/// Tracks the pings that this daemon sends on behalf of other members. The
/// acknowledgement of each ping is forwarded to the member that requested the
/// ping.
class relayed_probes
{
public:
    static constexpr std::size_t capacity = 256;

    /// Adds a relayed ping. `sequence` is the sequence number of the ping that
    /// this daemon sends; `requester_sequence` is the sequence number of the
    /// indirect_ping that `requester` sent. When the number of relayed pings
    /// exceeds the capacity, the oldest is dropped.
    void
    add(std::uint64_t sequence,
        endpoint requester,
        std::uint64_t requester_sequence);

    struct probe_requester
    {
        endpoint const requester_{};
        std::uint64_t const sequence_{};
    };

    /// Removes the relayed ping with this sequence number and returns its
    /// requester; nullopt when no relayed ping has the number.
    std::optional<probe_requester> take_requester(std::uint64_t sequence);

private:
    struct relayed_probe
    {
        std::uint64_t sequence_{};
        endpoint requester_{};
        std::uint64_t requester_sequence_{};
    };

    std::deque<relayed_probe> probes_;
};

} // namespace samphire
