#pragma once

#include "forwarding/messages/relay_message.hpp"
#include "wire/peer_key.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Encodes messages between daemons as frames: a length of four bytes in
/// network byte order, the protocol version, the message kind, and the fields
/// in cereal's portable binary format. A hello, which is the first frame in
/// each direction, ends with a keyed hash of its content; a connection whose
/// hello does not verify is closed.
class relay_codec
{
public:
    static constexpr std::size_t length_prefix_size = 4;
    static constexpr std::size_t max_frame_bytes = 80u << 20;

    explicit relay_codec(peer_key key) : key_(key)
    {
    }

    /// Returns a complete frame with its length prefix.
    std::string encode(relay_message const& message) const;

    /// Decodes a frame without its length prefix. Returns nothing when the
    /// frame is malformed, of another protocol version, or a hello whose hash
    /// does not verify.
    std::optional<relay_message> decode(std::string_view frame) const;

    /// Returns the length of the frame at the start of `bytes`, without the
    /// length prefix; nothing while the prefix is incomplete.
    static std::optional<std::size_t> frame_size(std::string_view bytes);

private:
    peer_key const key_;
};

} // namespace samphire
