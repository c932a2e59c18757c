#pragma once

#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// A response queued for the thread of the HTTP server. If response_ is empty,
/// the server closes the connection.
struct pending_response
{
    request_token const token_{};
    std::optional<http_response> const response_{};

    friend bool
    operator==(pending_response const&, pending_response const&) = default;
};

} // namespace samphire
