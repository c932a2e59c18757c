#pragma once

#include "http/http_response.hpp"
#include "http/request_token.hpp"

namespace samphire
{

/// An answer on its way to the thread of the HTTP server.
struct pending_response
{
    request_token const token_{};
    http_response const response_{};

    friend bool
    operator==(pending_response const&, pending_response const&) = default;
};

} // namespace samphire
