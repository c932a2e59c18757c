#pragma once

namespace samphire
{

/// Socket options that let the kernel detect a connection that has fallen
/// silent without a reset.
struct silence_detection
{
    /// Enables keep-alive probes on the TCP socket, and ends the connection
    /// with an error when the peer acknowledges neither data nor probes for
    /// about three seconds.
    static void enable(int descriptor);
};

} // namespace samphire
