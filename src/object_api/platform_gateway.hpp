#pragma once

#include "base/endpoint.hpp"
#include "base/operation_id.hpp"
#include "http/http_client.hpp"
#include "object_api/platform_request.hpp"
#include "object_api/platform_result.hpp"

#include <absl/container/flat_hash_map.h>

#include <concepts>
#include <utility>

namespace samphire
{

/// Converts a platform call to an HTTP request.
outgoing_request
write_platform_request(endpoint platform, platform_request const& request);

/// Converts an HTTP response of the platform to a result.
platform_result read_platform_response(http_response const& response);

/// Converts an HTTP error to a result. The status is no_answer if the request
/// may have been sent, since a write may then have taken effect.
platform_result platform_result_from_error(http_client_error error);

/// Receives the results of platform calls on the thread of the gateway.
template <class T>
concept platform_result_sink =
    requires(T sink, operation_id operation, platform_result const& result)
{
    {sink.on_platform_result(operation, result)};
};

/// Calls the platform's object API over HTTP, on the duty thread "platform".
template <platform_result_sink Sink>
class platform_gateway
{
public:
    platform_gateway(endpoint platform, std::size_t capacity, Sink& sink)
        : platform_(platform), sink_(sink), client_(capacity, *this)
    {
    }

    void run()
    {
        client_.run();
    }

    void stop()
    {
        client_.stop();
    }

    /// Calls the platform. Returns false, sends nothing and reports no result
    /// when no platform is configured or the command ring of the HTTP client is
    /// full.
    bool call(operation_id operation, platform_request const& request)
    {
        return !platform_.empty() &&
               client_.send(
                   request_token(operation.value()),
                   write_platform_request(platform_, request));
    }

    void on_response(request_token token, http_response const& response)
    {
        sink_.on_platform_result(
            operation_id(token.value()), read_platform_response(response));
    }

    void on_failure(request_token token, http_client_error error)
    {
        sink_.on_platform_result(
            operation_id(token.value()), platform_result_from_error(error));
    }

private:
    endpoint const platform_;
    Sink& sink_;
    http_client<platform_gateway> client_;
};

} // namespace samphire
