#include "wire/message_codec.hpp"

#include "wire/value_codec.hpp"

#include <sodium.h>

#include <array>
#include <exception>
#include <utility>

namespace samphire
{

message_codec::message_codec(peer_key key, peer_identity self)
    : key_(key), self_(std::move(self))
{
}

std::string message_codec::encode(peer_message const& message) const
{
    wire_writer out;
    put(out, self_);
    put(out, message);
    std::string const body = out.take_bytes();
    std::string result(header_bytes, '\0');
    result[0] = static_cast<char>(format_version);
    write_mac(body, reinterpret_cast<unsigned char*>(result.data() + 1));
    result += body;
    return result;
}

decode_result message_codec::decode(std::string_view bytes) const
{
    if (bytes.size() < header_bytes)
        return wire_error::too_short;
    if (bytes.size() > max_message_bytes)
        return wire_error::too_long;
    if (static_cast<std::uint8_t>(bytes[0]) != format_version)
        return wire_error::wrong_version;
    std::string_view const body = bytes.substr(header_bytes);
    std::array<unsigned char, mac_bytes> expected{};
    write_mac(body, expected.data());
    if (sodium_memcmp(expected.data(), bytes.data() + 1, mac_bytes) != 0)
        return wire_error::not_authentic;
    try
    {
        wire_reader in(body);
        peer_identity const from = get_peer_identity(in);
        received_message const message{from, get_peer_message(in)};
        in.expect_end();
        return message;
    }
    catch (std::exception const&)
    {
        return wire_error::malformed;
    }
}

void message_codec::write_mac(std::string_view body, unsigned char* mac) const
{
    crypto_generichash(
        mac,
        mac_bytes,
        reinterpret_cast<unsigned char const*>(body.data()),
        body.size(),
        key_.bytes().data(),
        key_.bytes().size());
}

} // namespace samphire
