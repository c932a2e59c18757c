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
    /// Called with a complete request. http_server::answer() or
    /// http_server::close_without_answer() ends the request.
    {handler.on_request(token, request)};
    /// Called when the client has closed the connection before its request was
    /// answered.
    {handler.on_client_disconnected(token)};
};

} // namespace samphire
