#pragma once

#include "base/endpoint.hpp"
#include "forwarding/messages/relay_message.hpp"

#include <concepts>
#include <cstdint>

namespace samphire
{

/// Takes what happens on the connections between daemons.
template <class T>
concept mesh_handler = requires(
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
    /// A daemon said who it is; `dialled` tells who made the connection.
    {handler.on_hello(hello, true)};
    {handler.on_peer_message(daemon, message)};
    /// The connection on which requests are sent to the daemon ended.
    {handler.on_peer_down(daemon)};
    /// The connection on which the daemon sends requests ended.
    {handler.on_entry_down(incarnation)};
};

} // namespace samphire
