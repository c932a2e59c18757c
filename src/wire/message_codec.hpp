#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"
#include "wire/peer_key.hpp"
#include "wire/received_message.hpp"
#include "wire/wire_error.hpp"

#include <boost/outcome/result.hpp>

#include <string>
#include <string_view>

namespace samphire
{

namespace outcome = boost::outcome_v2;

/// The received message, or the reason why bytes from another daemon could not
/// be decoded.
using decode_result = outcome::unchecked<received_message, wire_error>;

/// Encodes and decodes messages between daemons. The encoded form consists of
/// one byte of format version, a 16-byte keyed BLAKE2b hash of all bytes after
/// the hash, the identity of the sender, and the message.
class message_codec
{
public:
    static constexpr std::uint8_t format_version = 1;
    static constexpr std::size_t mac_bytes = 16;
    static constexpr std::size_t header_bytes = 1 + mac_bytes;
    static constexpr std::size_t max_message_bytes = 8u << 20;

    message_codec(peer_key key, peer_identity self);

    std::string encode(peer_message const& message) const;
    decode_result decode(std::string_view bytes) const;

private:
    void write_mac(std::string_view body, unsigned char* mac) const;

    peer_key const key_;
    peer_identity const self_;
};

} // namespace samphire
