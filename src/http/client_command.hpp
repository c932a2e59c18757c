#pragma once

#include "http/outgoing_request.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// Command for the thread of an HTTP client: starts request_, or cancels the
/// request with this token if request_ is empty.
struct client_command
{
    request_token const token_{};
    std::optional<outgoing_request> const request_{};

    friend bool
    operator==(client_command const&, client_command const&) = default;
};

} // namespace samphire
