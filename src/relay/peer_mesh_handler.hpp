#pragma once

#include "base/endpoint.hpp"
#include "forwarding/messages/relay_message.hpp"

#include <concepts>
#include <cstdint>

namespace samphire
{

/// Receives the messages and events of the connections between daemons.
template <class T>
concept peer_mesh_handler = requires(
    T handler,
    endpoint daemon,
    std::uint64_t incarnation,
    daemon_hello const& hello,
    relay_message& message)
{
    {
        handler.own_hello()
        } -> std::same_as<daemon_hello>;
    {
        handler.own_beacon()
        } -> std::same_as<daemon_beacon>;
    /// Called when a daemon has identified itself; the second argument is true
    /// on a connection that this daemon dialled.
    {handler.on_hello(hello, true)};
    {handler.on_peer_message(daemon, message)};
    /// Called when the connection on which this daemon sends requests to
    /// `daemon` has ended.
    {handler.on_peer_disconnected(daemon)};
    /// Called when the connection on which the daemon with this incarnation
    /// sends requests to this daemon has ended.
    {handler.on_entry_disconnected(incarnation)};
};

} // namespace samphire
