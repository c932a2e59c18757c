#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Creates the sockets of the relay. All sockets are non-blocking; connections
/// have TCP_NODELAY, and outgoing connections fail when the other side
/// acknowledges no data for a given time.
struct socket_factory
{
    /// Returns a listening socket; throws std::system_error when the address is
    /// in use.
    static file_descriptor listen(endpoint address);
    /// Starts to connect and returns the socket, which is invalid when
    /// connect() fails immediately.
    static file_descriptor
    connect(endpoint address, absl::Duration unacknowledged_timeout);
    /// Returns the socket of the next pending connection, which is invalid when
    /// no connection is pending.
    static file_descriptor accept(int listener);
    /// Returns true when the connect that was in progress has succeeded.
    static bool connect_succeeded(int descriptor);
    /// Sets TCP_USER_TIMEOUT: the connection fails when sent data stays
    /// unacknowledged for this long.
    static void set_unacknowledged_timeout(
        int descriptor, absl::Duration unacknowledged_timeout);
};

} // namespace samphire
