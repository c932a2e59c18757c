#pragma once

#include "base/payload.hpp"
#include "forwarding/attempt_id.hpp"
#include "forwarding/client_token.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace samphire
{

/// A whole request of a client or of the own upstream.
struct client_request
{
    client_token token_{};
    attempt_id attempt_{};
    /// Request for which an upstream says to make this call; only believed
    /// while the own upstream runs it.
    std::optional<attempt_id> parent_{};
    std::string host_{};
    std::string method_{};
    /// Path and query.
    std::string target_{};
    /// Header lines that are passed on, each ended by CR LF.
    std::string headers_{};
    payload body_{};
    bool has_body_{};
    /// How long the client waits; nothing when it did not say.
    std::optional<absl::Duration> patience_{};
    /// When its first byte was read.
    absl::Time received_{};

    friend bool
    operator==(client_request const&, client_request const&) = default;
};

} // namespace samphire
