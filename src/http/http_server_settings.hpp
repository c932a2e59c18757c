#pragma once

#include "base/endpoint.hpp"

#include <cstddef>
#include <cstdint>

namespace samphire
{

struct http_server_settings
{
    endpoint const listen_address_{};
    /// Maximum number of open connections.
    std::size_t const max_connections_{4096};
    /// Maximum size of a request body in bytes.
    std::size_t const max_body_bytes_{8u << 20};
    /// All tokens of the server are greater than this number.
    std::uint64_t const token_base_{};

    friend bool operator==(
        http_server_settings const&, http_server_settings const&) = default;
};

} // namespace samphire
