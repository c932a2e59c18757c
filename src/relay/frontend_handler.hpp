#pragma once

#include "forwarding/client_token.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <concepts>

namespace samphire
{

/// Receives the requests and disconnects of the clients of an HTTP frontend.
template <class T>
concept frontend_handler = requires(
    T handler,
    client_token token,
    boost::beast::http::request<boost::beast::http::string_body>& message,
    absl::Time received)
{
    /// Called with a complete request. The handler answers the request exactly
    /// once, unless the client disconnects first.
    {handler.on_frontend_request(token, message, received)};
    {handler.on_frontend_disconnect(token)};
    /// Called with a complete request whose client has disconnected before the
    /// request was passed on.
    {handler.on_frontend_request_abandoned(message)};
};

} // namespace samphire
