#pragma once

#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <optional>

namespace samphire
{

/// An answer on its way to the thread of the HTTP server. Without a response
/// the connection is closed.
struct pending_response
{
    request_token const token_{};
    std::optional<http_response> const response_{};

    friend bool
    operator==(pending_response const&, pending_response const&) = default;
};

} // namespace samphire
