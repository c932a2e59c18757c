#pragma once

namespace samphire
{

/// SIGTERM and SIGINT, taken by one waiting thread instead of a handler. Made
/// before any other thread, so that all threads inherit the blocked signals.
class stop_signals
{
public:
    stop_signals();

    /// Waits for one of the signals.
    void wait() const;
};

} // namespace samphire
