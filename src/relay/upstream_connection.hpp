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
    bool head_method_{};
    bool busy_{};
    bool connected_{};
    /// Only tests whether the upstream takes connections.
    bool probe_{};
    absl::Time idle_since_{};
    /// How long the upstream keeps it open when idle.
    absl::Duration idle_limit_{};
};

} // namespace samphire
