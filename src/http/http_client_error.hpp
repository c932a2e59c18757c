#pragma once

#include <cstdint>

namespace samphire
{

/// Why a request has no whole answer.
enum class http_client_error : std::uint8_t
{
    /// No connection was made, so nothing was sent.
    refused,
    connection_lost,
    truncated,
    timeout,
    cancelled,
    /// The client already has as many requests as it may.
    full,
};

} // namespace samphire
