#pragma once

#include "base/payload.hpp"
#include "forwarding/verdict_reason.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace samphire
{

/// Answer to a client request: either the answer of the upstream or an error
/// that the entry made.
struct client_answer
{
    std::uint16_t status_{};
    /// Header lines of the upstream's answer; empty for an answer that the
    /// entry made itself.
    std::string headers_{};
    payload body_{};
    /// Time after which the client may retry; empty when the entry states none.
    std::optional<absl::Duration> retry_after_{};
    verdict_reason reason_{verdict_reason::none};
    /// Whether the entry made the answer itself; false for an answer of the
    /// upstream.
    bool made_by_entry_{true};

    friend bool
    operator==(client_answer const&, client_answer const&) = default;
};

} // namespace samphire
