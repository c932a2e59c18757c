#pragma once

#include "base/payload.hpp"
#include "forwarding/attempt_id.hpp"
#include "forwarding/client_token.hpp"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace samphire
{

/// A request of a client, or a call of the local upstream, that was received
/// completely.
struct client_request
{
    client_token token_{};
    attempt_id attempt_{};
    /// Attempt id of the request that the local upstream names as the parent of
    /// this call. Accepted only while the local upstream runs that request.
    std::optional<attempt_id> parent_{};
    std::string host_{};
    std::string method_{};
    /// Path and query of the request.
    std::string target_{};
    /// Header lines of the request that are forwarded to the upstream, each
    /// ending with CR LF.
    std::string headers_{};
    payload body_{};
    bool has_body_{};
    /// How long the client waits for an answer; empty when the client did not
    /// state it.
    std::optional<absl::Duration> client_timeout_{};
    /// Time at which the first byte of the request was read.
    absl::Time received_at_{};

    friend bool
    operator==(client_request const&, client_request const&) = default;
};

} // namespace samphire
