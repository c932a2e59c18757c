#pragma once

#include "forwarding/attempt_id.hpp"
#include "forwarding/messages/execution_key.hpp"
#include "relay/answer_parser.hpp"
#include "relay/byte_stream.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <utility>

namespace samphire
{

/// A connection to the local upstream, which carries one request at a time.
struct upstream_connection
{
    explicit upstream_connection(byte_stream stream)
        : stream_(std::move(stream))
    {
    }

    byte_stream stream_;
    std::optional<answer_parser> parser_{};
    execution_key key_{};
    attempt_id attempt_{};
    std::uint64_t fingerprint_{};
    /// Bytes of the answer that count towards the total of all answers.
    std::size_t answer_bytes_{};
    /// Messages that arrived before the answer to the request in progress.
    std::size_t skipped_messages_{};
    bool is_head_request_{};
    /// Whether a request is in progress on the connection.
    bool request_in_progress_{};
    /// Whether the upstream has ended an answer without a length before it has
    /// taken the whole request.
    bool waits_to_send_rest_{};
    bool connected_{};
    /// Whether the connection only tests if the upstream accepts connections.
    bool is_probe_{};
    absl::Time idle_since_{};
    /// Idle time after which the connection is not reused.
    absl::Duration max_idle_duration_{};
};

} // namespace samphire
