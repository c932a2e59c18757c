#pragma once

#include "messages/peer_identity.hpp"
#include "messages/peer_message.hpp"
#include "wire/wire_reader.hpp"
#include "wire/wire_writer.hpp"

namespace samphire
{

/// Writes the fields of a value in the order of their declaration.
void put(wire_writer& out, peer_identity const& value);
void put(wire_writer& out, peer_message const& value);

/// Reads a value that put() wrote; throws when the bytes are not an encoding of
/// the type.
peer_identity get_peer_identity(wire_reader& in);
peer_message get_peer_message(wire_reader& in);

} // namespace samphire
