#pragma once

#include "http/http_client_error.hpp"
#include "http/http_response.hpp"
#include "http/request_token.hpp"

#include <concepts>

namespace samphire
{

/// Receives the outcome of each request of an HTTP client, on the thread of the
/// client.
template <class T>
concept client_handler = requires(
    T handler,
    request_token token,
    http_response const& response,
    http_client_error error)
{
    {handler.on_response(token, response)};
    {handler.on_failure(token, error)};
};

} // namespace samphire
