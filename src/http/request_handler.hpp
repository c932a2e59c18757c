#pragma once

#include "http/http_request.hpp"
#include "http/request_token.hpp"

#include <concepts>

namespace samphire
{

/// Receives the requests of an HTTP server, on the server's thread.
template <class T>
concept request_handler =
    requires(T handler, request_token token, http_request const& request)
{
    /// A complete request has arrived. http_server::answer() or drop() ends it.
    {handler.on_request(token, request)};
    /// The client closed the connection before the request was answered.
    {handler.on_client_disconnected(token)};
};

} // namespace samphire
