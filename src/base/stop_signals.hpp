#pragma once

namespace samphire
{

/// Lets one thread wait for SIGTERM and SIGINT instead of a signal handler.
/// Must be constructed before any other thread starts, so that all threads
/// inherit the blocked signals. Also ignores SIGPIPE.
class stop_signals
{
public:
    stop_signals();

    /// Blocks until one of the signals arrives.
    void wait() const;
};

} // namespace samphire
