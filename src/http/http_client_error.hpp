#pragma once

#include <cstdint>

namespace samphire
{

/// Reasons why a request has no complete response.
enum class http_client_error : std::uint8_t
{
    /// No connection was established, so nothing was sent.
    refused,
    connection_lost,
    truncated,
    timeout,
    cancelled,
    /// The client already has its maximum number of requests in progress.
    full,
};

} // namespace samphire
