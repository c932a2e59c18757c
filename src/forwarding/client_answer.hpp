#pragma once

#include "base/payload.hpp"
#include "forwarding/verdict_reason.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// What a client gets.
struct client_answer
{
    std::uint16_t status_{};
    /// Header lines of the upstream's answer; empty for one of our own.
    std::string headers_{};
    payload body_{};
    std::optional<absl::Duration> retry_after_{};
    verdict_reason reason_{verdict_reason::none};
    /// False for an answer of the upstream.
    bool own_{true};

    friend bool
    operator==(client_answer const&, client_answer const&) = default;
};

} // namespace samphire
