#pragma once

#include "base/payload.hpp"
#include "forwarding/verdict_reason.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// Answer that the entry sends to a client.
struct client_answer
{
    std::uint16_t status_{};
    /// Header lines of the upstream's answer; empty for an answer that the
    /// entry made itself.
    std::string headers_{};
    payload body_{};
    std::optional<absl::Duration> retry_after_{};
    verdict_reason reason_{verdict_reason::none};
    /// True for an answer that the entry made itself; false for one of the
    /// upstream.
    bool made_by_entry_{true};

    friend bool
    operator==(client_answer const&, client_answer const&) = default;
};

} // namespace samphire
