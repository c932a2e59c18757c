#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphire
{

/// Pings sent on behalf of other members, each with the requester to which its
/// acknowledgement is forwarded.
class relayed_probes
{
public:
    static constexpr std::size_t capacity = 256;

    /// Adds a relayed ping. `sequence` is the sequence number of the ping that
    /// this daemon sends, `requester_sequence` that of the request. Above the
    /// capacity the oldest ping is dropped.
    void
    add(std::uint64_t sequence,
        endpoint requester,
        std::uint64_t requester_sequence);

    struct probe_requester
    {
        endpoint const requester_{};
        std::uint64_t const sequence_{};
    };

    /// Removes the ping and returns its requester; nullopt when the
    /// acknowledged ping was not relayed.
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
