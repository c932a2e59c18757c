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

/// One connection of a client to an HTTP frontend.
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
    /// The request whose answer is pending; empty while a request is read.
    client_token token_{};
    /// When the first byte of the current request was read.
    absl::Time request_started_at_{absl::InfiniteFuture()};
    absl::Time last_read_at_{};
    /// Body bytes of the current request that count towards the limit of the
    /// frontend.
    std::size_t reserved_body_bytes_{};
    /// The header of the current request was read and passed to the checks.
    bool header_checked_{};
    bool keep_alive_{true};
    bool is_head_request_{};
    /// The connection is closed once the queued answer is written.
    bool closing_{};
};

} // namespace samphire
