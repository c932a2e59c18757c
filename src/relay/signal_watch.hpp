#pragma once

#include <absl/time/time.h>

#include <optional>

namespace samphire
{

/// Receives stop and reload signals in one waiting thread instead of a signal
/// handler. Must be constructed before any other thread starts, so that all
/// threads inherit the blocked signals.
class signal_watch
{
public:
    enum class kind
    {
        stop,
        reload,
    };

    signal_watch();

    /// Waits for a signal; returns nothing when none arrives within `timeout`.
    std::optional<kind> wait(absl::Duration timeout) const;
};

} // namespace samphire
