#pragma once

namespace samphire
{

/// The time that daemon_core::next_deadline() returned has been reached.
struct timer_elapsed
{
    friend bool
    operator==(timer_elapsed const&, timer_elapsed const&) = default;
};

} // namespace samphire
