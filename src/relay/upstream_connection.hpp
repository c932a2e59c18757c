#pragma once

#include "forwarding/attempt_id.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "relay/byte_stream.hpp"

#include <absl/time/time.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace samphire
{

/// One connection to the upstream; carries one request at a time.
struct upstream_connection
{
    using parser =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    explicit upstream_connection(byte_stream stream)
        : stream_(std::move(stream))
    {
    }

    byte_stream stream_;
    std::optional<parser> parser_{};
    execution_key key_{};
    attempt_id attempt_{};
    std::uint64_t fingerprint_{};
    bool is_head_request_{};
    /// A request is in progress.
    bool busy_{};
    bool connected_{};
    /// The connection only tests whether the upstream accepts connections.
    bool probe_{};
    absl::Time idle_since_{};
    /// The connection is not reused after it was idle for this long.
    absl::Duration idle_limit_{};
};

} // namespace samphire
