#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphire
{

/// Probes made on behalf of other members; maps each to the requester that its
/// acknowledgement is forwarded to.
class relayed_probes
{
public:
    static constexpr std::size_t capacity = 256;

    /// `sequence` is that of the ping sent from here, `requester_sequence` that
    /// of the request. The oldest entry is dropped above the capacity.
    void
    add(std::uint64_t sequence,
        endpoint requester,
        std::uint64_t requester_sequence);

    struct relay
    {
        endpoint const requester_{};
        std::uint64_t const sequence_{};
    };

    /// Removes and returns the entry; nullopt when the acknowledged ping was
    /// not relayed.
    std::optional<relay> extract(std::uint64_t sequence);

private:
    struct entry
    {
        std::uint64_t sequence_{};
        endpoint requester_{};
        std::uint64_t requester_sequence_{};
    };

    std::deque<entry> entries_;
};

} // namespace samphire
