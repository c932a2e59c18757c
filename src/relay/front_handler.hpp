#pragma once

#include "forwarding/client_token.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <concepts>

namespace samphire
{

/// Takes what the clients of an HTTP front send.
template <class T>
concept front_handler = requires(
    T handler,
    client_token token,
    boost::beast::http::request<boost::beast::http::string_body>& message,
    absl::Time received)
{
    /// A whole request; exactly one answer follows unless the client goes.
    {handler.on_front_request(token, message, received)};
    {handler.on_front_gone(token)};
};

} // namespace samphire
