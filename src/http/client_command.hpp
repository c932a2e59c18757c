#pragma once

#include "http/outgoing_request.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// Starts the request, or cancels it when there is none.
struct client_command
{
    request_token const token_{};
    std::optional<outgoing_request> const request_{};

    friend bool
    operator==(client_command const&, client_command const&) = default;
};

} // namespace samphire
