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

/// A client connection to an HTTP frontend, and the request that is read or
/// answered on this connection.
struct frontend_connection
{
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    explicit frontend_connection(byte_stream stream)
        : stream_(std::move(stream))
    {
    }

    byte_stream stream_;
    std::optional<parser> parser_{};
    /// Token of the request whose answer is pending; empty while no answer is
    /// pending.
    client_token token_{};
    /// Time at which the first byte of the request was read.
    absl::Time request_started_at_{absl::InfiniteFuture()};
    absl::Time last_read_at_{};
    /// Body bytes of the request that count towards
    /// frontend_limits::max_total_body_bytes_.
    std::size_t reserved_body_bytes_{};
    /// Whether check_header() has been called for the request.
    bool header_checked_{};
    bool keep_alive_{true};
    bool is_head_request_{};
    /// Whether the connection is closed once the queued answer is written.
    bool close_after_write_{};
};

} // namespace samphire
