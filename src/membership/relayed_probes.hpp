#pragma once

#include "base/endpoint.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>

namespace samphire
{

/// Probes that are made for other members: whose acknowledgement goes where.
class relayed_probes
{
public:
    static constexpr std::size_t capacity = 256;

    /// `sequence` is the one of the own ping, `asked` that of the asker.
    void add(std::uint64_t sequence, endpoint asker, std::uint64_t asked);

    struct relay
    {
        endpoint const asker_{};
        std::uint64_t const sequence_{};
    };

    /// Removes the entry; nothing when the acknowledgement is not for a relay.
    std::optional<relay> take(std::uint64_t sequence);

private:
    struct entry
    {
        std::uint64_t sequence_{};
        endpoint asker_{};
        std::uint64_t asked_{};
    };

    std::deque<entry> entries_;
};

} // namespace samphire
