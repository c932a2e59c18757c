#include "relay/relay_codec.hpp"

#include "relay/message_fields.hpp"
#include "wire/byte_source.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sodium.h>

#include <array>
#include <istream>
#include <sstream>
#include <type_traits>
#include <utility>

namespace samphire
{

namespace
{

constexpr char protocol_version = 3;
constexpr std::size_t header_bytes = 2;

std::string keyed_hash(peer_key const& key, std::string_view bytes)
{
    std::string hash(crypto_auth_BYTES, '\0');
    static_assert(peer_key::size == crypto_auth_KEYBYTES);
    crypto_auth(
        reinterpret_cast<unsigned char*>(hash.data()),
        reinterpret_cast<unsigned char const*>(bytes.data()),
        bytes.size(),
        key.bytes().data());
    return hash;
}

template <std::size_t Index = 0>
relay_message read_fields(std::size_t index, std::string_view bytes)
{
    if constexpr (Index < std::variant_size_v<relay_message>)
    {
        if (index != Index)
            return read_fields<Index + 1>(index, bytes);
        byte_source source(bytes);
        std::istream stream(&source);
        cereal::PortableBinaryInputArchive archive(stream);
        std::variant_alternative_t<Index, relay_message> message;
        archive(message);
        if (source.remaining_bytes() != 0)
            throw std::out_of_range("trailing bytes after the message");
        return message;
    }
    throw std::out_of_range("unknown message kind");
}

constexpr std::size_t hello_index = 0;
static_assert(std::is_same_v<
              std::variant_alternative_t<hello_index, relay_message>,
              daemon_hello>);

} // namespace

std::string relay_codec::encode(relay_message const& message) const
{
    std::ostringstream stream;
    // Placeholder for the length prefix, which is filled in at the end.
    stream.write("\0\0\0\0", length_prefix_size);
    stream.put(protocol_version);
    stream.put(static_cast<char>(message.index()));
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        std::visit([&](auto const& value) { archive(value); }, message);
    }
    std::string frame = std::move(stream).str();
    if (message.index() == hello_index)
        frame += keyed_hash(
            key_, std::string_view(frame).substr(length_prefix_size));
    auto const size =
        static_cast<std::uint32_t>(frame.size() - length_prefix_size);
    for (std::size_t i = 0; i < length_prefix_size; ++i)
        frame[i] =
            static_cast<char>(size >> (8 * (length_prefix_size - 1 - i)));
    return frame;
}

std::optional<relay_message> relay_codec::decode(std::string_view frame) const
{
    if (frame.size() < header_bytes || frame[0] != protocol_version)
        return std::nullopt;
    auto const index = static_cast<std::uint8_t>(frame[1]);
    if (index == hello_index)
    {
        if (frame.size() < header_bytes + crypto_auth_BYTES)
            return std::nullopt;
        std::string_view const signed_part =
            frame.substr(0, frame.size() - crypto_auth_BYTES);
        std::string const expected = keyed_hash(key_, signed_part);
        if (sodium_memcmp(
                expected.data(),
                frame.data() + signed_part.size(),
                crypto_auth_BYTES) != 0)
            return std::nullopt;
        frame = signed_part;
    }
    try
    {
        return read_fields(index, frame.substr(header_bytes));
    }
    // Catches every standard exception, since cereal and the standard library
    // throw several types for malformed bytes.
    catch (std::exception const&)
    {
        return std::nullopt;
    }
}

std::optional<std::size_t> relay_codec::frame_size(std::string_view bytes)
{
    if (bytes.size() < length_prefix_size)
        return std::nullopt;
    std::size_t size = 0;
    for (std::size_t i = 0; i < length_prefix_size; ++i)
        size = (size << 8) | static_cast<std::uint8_t>(bytes[i]);
    return size;
}

} // namespace samphire
