#include "wire/value_codec.hpp"

#include "wire/codecs.hpp"

#include <stdexcept>
#include <variant>

namespace samphire
{

namespace
{

template <std::size_t Index>
peer_message get_alternative(wire_reader& in, std::size_t index)
{
    if constexpr (Index == std::variant_size_v<peer_message>)
    {
        throw std::out_of_range("unknown message type");
    }
    else
    {
        if (index != Index)
            return get_alternative<Index + 1>(in, index);
        using type = std::variant_alternative_t<Index, peer_message>;
        return get(in, wire_tag<type>());
    }
}

} // namespace

void put(wire_writer& out, peer_identity const& value)
{
    put(out, value.daemon_);
    put(out, value.incarnation_);
    put(out, value.endpoint_);
}

peer_identity get_peer_identity(wire_reader& in)
{
    return {
        get(in, wire_tag<daemon_id>()),
        get(in, wire_tag<incarnation>()),
        get(in, wire_tag<endpoint>())};
}

void put(wire_writer& out, peer_message const& value)
{
    out.write_number(static_cast<std::uint8_t>(value.index()));
    std::visit([&](auto const& message) { put(out, message); }, value);
}

peer_message get_peer_message(wire_reader& in)
{
    return get_alternative<0>(in, in.read_number<std::uint8_t>());
}

} // namespace samphire
