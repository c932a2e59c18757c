#pragma once

#include "forwarding/client_token.hpp"
#include "relay/byte_stream.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace samphire
{

/// One connection of a client.
struct front_connection
{
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    explicit front_connection(byte_stream stream) : stream_(std::move(stream))
    {
    }

    byte_stream stream_;
    std::optional<parser> parser_{};
    /// The request in progress; empty while one is read.
    client_token token_{};
    /// First byte of the present request.
    absl::Time begun_{absl::InfiniteFuture()};
    absl::Time last_read_{};
    /// Bytes counted for the present request.
    std::size_t held_{};
    bool head_seen_{};
    bool keep_alive_{true};
    bool head_method_{};
    bool closing_{};
};

} // namespace samphire
