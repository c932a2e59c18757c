#pragma once

#include "forwarding/messages/relay_message.hpp"
#include "wire/peer_key.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphire
{

/// Messages between daemons as frames: a length of four bytes in network
/// order, a version, the kind, and the fields in cereal's portable binary
/// form. The first frame of a connection carries a keyed hash; a connection
/// whose first frame does not verify is closed.
class relay_codec
{
public:
    static constexpr std::size_t length_size = 4;
    static constexpr std::size_t frame_limit = 80u << 20;

    explicit relay_codec(peer_key key) : key_(key)
    {
    }

    /// A whole frame, its length included.
    std::string encode(relay_message const& message) const;

    /// Reads a frame without its length. Nothing when it is malformed, of
    /// another version, or a hello that does not verify.
    std::optional<relay_message> decode(std::string_view frame) const;

    /// Length of the frame that begins `bytes`; nothing before it is known.
    static std::optional<std::size_t> frame_size(std::string_view bytes);

private:
    peer_key const key_;
};

} // namespace samphire
