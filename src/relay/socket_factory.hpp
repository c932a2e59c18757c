#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Sockets as the relay uses them: non-blocking, without delay of small
/// writes, and given up when the other side acknowledges nothing for a while.
struct socket_factory
{
    /// Throws std::system_error when the address is taken.
    static file_descriptor listen(endpoint address);
    /// Starts to connect; invalid when the kernel refuses at once.
    static file_descriptor
    connect(endpoint address, absl::Duration unacknowledged);
    /// Invalid when nothing waits.
    static file_descriptor accept(int listener);
    /// True once a started connect has succeeded.
    static bool connected(int descriptor);
    static void give_up_after(int descriptor, absl::Duration unacknowledged);
};

} // namespace samphire
