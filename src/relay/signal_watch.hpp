#pragma once

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Stop and reload signals, taken by one waiting thread instead of a handler.
/// Made before any other thread, so that all threads inherit the blocked
/// signals.
class signal_watch
{
public:
    enum class kind
    {
        stop,
        reload,
    };

    signal_watch();

    /// Waits for a signal; nothing when none came in time.
    std::optional<kind> wait(absl::Duration timeout) const;
};

} // namespace samphire
